/// \file
/// Selection of a runner for a task: the feasible one with the highest score, which usually has the
/// most spare processor time.
#include "central/lease/handover.h"
#include "central/placement/lookahead.h"

#include <algorithm>
#include <cstdint>

namespace cuminmoor::central {

namespace {

bool has_label(const runner_entry& entry, const std::string& label)
{
    return std::find(entry.labels.begin(), entry.labels.end(), label) != entry.labels.end();
}

/// \return processor time that no run on the runner is expected to use, in thousandths of a core.
std::int64_t spare_milli_cores(const runner_record& r)
{
    const std::int64_t unused_by_services =
        r.service_milli_cores * (100 - config::service_cpu_use_percent) / 100;
    return r.entry.capacity.milli_cores - r.reserved.milli_cores + unused_by_services -
           r.leftover_milli_cores;
}

std::uint32_t count_of_step(const runner_record& r, const graph_task_id& id)
{
    const graph_task_id first{id.job, id.occurrence, id.step, 0};
    std::uint32_t count{0};
    for (auto it = r.runs.lower_bound(first); it != r.runs.end(); ++it) {
        const bool is_same =
            it->job == id.job && it->occurrence == id.occurrence && it->step == id.step;
        if (!is_same) {
            break;
        }
        ++count;
    }
    return count;
}

/// \return true if the expected latency rise with the task stays within the runner's budget. An
/// antagonist only needs to fit at the minimum pace, as pacing throttles it.
bool is_within_latency_rise_budget(const context& c, const runner_record& r, const task_ref& ref)
{
    if (r.service_milli_cores == 0) {
        return true;
    }
    const double rise = expected_latency_rise(c.s, r, ref);
    const double remaining_budget = r.latency_rise_budget - r.benign_latency_rise;
    return is_antagonist(c.s, r, ref) ? remaining_budget >= config::min_antagonist_pace_share *
                                                                (r.antagonist_latency_rise + rise)
                                      : remaining_budget >= rise;
}

bool has_capacity(const context& c, const runner_record& r, const graph_task_id& id,
                  const task_ref& ref, runner_requirement requirement)
{
    const graph_step& step = *ref.step;
    const resources kept = is_returning_service(ref)
                               ? resources{}
                               : r.kept_for_services + room_kept_from(c, r, id, ref);
    const resources taken = r.reserved + kept;
    if (!step.uses_leftover) {
        return (taken + step.task_size).fits(r.entry.capacity);
    }
    resources size = step.task_size;
    const std::int64_t min_milli_cores = size.milli_cores * config::min_leftover_percent / 100;
    size.milli_cores = 0;
    const bool has_memory = (taken + size).fits(r.entry.capacity);
    if (requirement == runner_requirement::best_effort) {
        return has_memory && spare_milli_cores(r) > 0;
    }
    const bool meets_disturbance_limit =
        requirement != runner_requirement::benign || !is_antagonist(c.s, r, ref);
    return has_memory && r.benign_pace == full_pace && spare_milli_cores(r) >= min_milli_cores &&
           meets_disturbance_limit && is_within_latency_rise_budget(c, r, ref);
}

/// Score of a runner for a task. Compared member by member in this order; higher is better.
struct placement_score {
    /// A start on a runner that has gone silent blocks its task until the leases there expire.
    bool is_answering{false};
    bool is_other_than_failed{false};
    /// Only for suspects: no other run there could have caused a crash, and the negative number of
    /// runs that a crash would take down.
    bool is_crash_attributable{false};
    std::int64_t negative_exposed_runs{0};
    bool is_near_data{false};
    bool is_benign{false};
    std::int64_t spare_capacity{0};

    auto operator<=>(const placement_score&) const = default;
};

/// \return processor time of services of the same image minus that of other services on the runner.
/// Services of one image are grouped so that their antagonists can run on other runners.
std::int64_t image_affinity(const runner_record& r, const task_ref& ref)
{
    const auto found = r.service_milli_cores_by_image.find(ref.image);
    const std::int64_t same = found == r.service_milli_cores_by_image.end() ? 0 : found->second;
    const std::int64_t others = r.service_milli_cores - same;
    return same - others;
}

/// \return the preference among runners that are equally suitable otherwise.
std::int64_t spare_score(const context& c, const runner_record& r, const task_ref& ref)
{
    if (ref.step->is_service) {
        return image_affinity(r, ref);
    }
    const bool is_packed = c.s.self.options.lookahead && !ref.step->uses_leftover;
    return is_packed ? packing_score(r, ref.step->task_size) : spare_milli_cores(r);
}

placement_score score(const context& c, const runner_record& r, const task_ref& ref)
{
    const graph_step& step = *ref.step;
    placement_score s;
    s.is_answering = !r.has_unanswered_order && !r.is_overdue;
    s.is_other_than_failed = r.entry.id != ref.task->failed_on;
    if (ref.task->crashes.is_suspect) {
        s.is_crash_attributable = crash_suspects(c, r).empty();
        s.negative_exposed_runs = -static_cast<std::int64_t>(r.runs.size());
    }
    s.is_near_data = step.data_rack.empty() || has_label(r.entry, step.data_rack);
    s.is_benign = step.is_service || !is_antagonist(c.s, r, ref);
    s.spare_capacity = spare_score(c, r, ref);
    return s;
}

} // namespace

bool is_schedulable(const context& c, const runner_record& r)
{
    return r.is_responsive && r.listed && r.stored && !r.entry.draining && r.clock &&
           may_grant_leases(c, r) && r.orphans.empty() && c.now >= r.avoided_until &&
           !r.probation_until && !c.s.operators.out_of_service.contains(r.entry.failure_domain);
}

std::vector<runner_record*> schedulable_runners(const context& c)
{
    std::vector<runner_record*> runners;
    for (auto& [id, r] : c.s.scheduler.runners) {
        if (is_schedulable(c, r)) {
            runners.push_back(&r);
        }
    }
    return runners;
}

bool meets_label(const runner_record& r, const task_ref& ref)
{
    const std::string& label = ref.step->required_label;
    return r.entry.service == ref.job->queue_settings.service &&
           (label.empty() || has_label(r.entry, label));
}

bool meets_constraints(const runner_record& r, const graph_task_id& id, const task_ref& ref)
{
    const std::uint32_t most = ref.step->max_per_runner;
    return meets_label(r, ref) && (most == 0 || count_of_step(r, id) < most);
}

bool is_feasible(const context& c, const runner_record& r, const graph_task_id& id,
                 const task_ref& ref, runner_requirement requirement)
{
    return !r.probation_until && has_capacity(c, r, id, ref, requirement) &&
           meets_constraints(r, id, ref);
}

runner_selector::requirement_key
runner_selector::requirement_key_of(const task_ref& ref, runner_requirement requirement) const
{
    const graph_step& step = *ref.step;
    // The image only matters for leftover tasks, as it determines the expected disturbance.
    const image_number image = step.uses_leftover ? ref.image : 0;
    return {image,
            step.uses_leftover,
            requirement,
            run_time_class(c_, ref),
            ref.job->queue_settings.service.value,
            step.required_label};
}

bool runner_selector::may_fit(const task_ref& ref, runner_requirement requirement) const
{
    const resources& size = ref.step->task_size;
    const auto found = rejected_sizes_.find(requirement_key_of(ref, requirement));
    return found == rejected_sizes_.end() ||
           std::none_of(found->second.begin(), found->second.end(),
                        [&size](const resources& failed) { return failed.fits(size); });
}

void runner_selector::record_rejected_size(const task_ref& ref, runner_requirement requirement)
{
    // With a limit per runner the rejection only applies to this step.
    if (ref.step->max_per_runner != 0) {
        return;
    }
    const resources& size = ref.step->task_size;
    auto& sizes = rejected_sizes_[requirement_key_of(ref, requirement)];
    std::erase_if(sizes, [&size](const resources& failed) { return size.fits(failed); });
    sizes.push_back(size);
}

std::size_t runner_selector::max_gang_members(const task_ref& ref) const
{
    std::size_t members{SIZE_MAX};
    const auto found =
        rejected_gangs_.find(requirement_key_of(ref, runner_requirement::full_speed));
    if (found == rejected_gangs_.end()) {
        return members;
    }
    for (const rejected_gang& failed : found->second) {
        if (failed.member.fits(ref.step->task_size)) {
            members = std::min(members, failed.max_members);
        }
    }
    return members;
}

void runner_selector::record_rejected_gang(const task_ref& ref, std::size_t max_members)
{
    if (ref.step->max_per_runner == 0 && max_members < max_gang_members(ref)) {
        const auto requirement = requirement_key_of(ref, runner_requirement::full_speed);
        rejected_gangs_[requirement].push_back({ref.step->task_size, max_members});
    }
}

runner_record* runner_selector::select_runner(const std::vector<runner_record*>& candidates,
                                              const graph_task_id& id, const task_ref& ref,
                                              runner_requirement requirement)
{
    // What others must leave free for it tells nothing about it.
    const bool is_reserved = has_reservation(c_, id, ref);
    if (!is_reserved && !may_fit(ref, requirement)) {
        return nullptr;
    }
    runner_record* best{nullptr};
    placement_score best_score;
    c_.s.scheduler.runners_scored += candidates.size();
    for (runner_record* const r : candidates) {
        if (!is_feasible(c_, *r, id, ref, requirement)) {
            continue;
        }
        const placement_score s = score(c_, *r, ref);
        if (best == nullptr || s > best_score) {
            best = r;
            best_score = s;
        }
    }
    if (best == nullptr && !is_reserved) {
        record_rejected_size(ref, requirement);
    }
    return best;
}

} // namespace cuminmoor::central
