/// \file
/// Placement of ready tasks on runners. Steps are placed in order of urgency; each task starts on
/// the feasible runner with the highest score, which usually has the most spare processor time.
#include "parts.h"

#include <algorithm>

namespace cuminmoor::central {

namespace {

/// Number of run numbers reserved for each term, so that later terms use higher numbers.
constexpr std::uint64_t run_numbers_per_term{4'096};

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

bool is_schedulable(const context& c, const runner_record& r)
{
    return r.is_responsive && r.listed && r.stored && !r.entry.draining && r.clock &&
           r.orphans.empty() && c.now >= r.avoided_until &&
           !c.s.operators.out_of_service.contains(r.entry.failure_domain);
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

bool has_capacity(const context& c, const runner_record& r, const task_ref& ref,
                  runner_requirement requirement)
{
    const graph_step& step = *ref.step;
    if (!step.uses_leftover) {
        return (r.reserved + step.task_size).fits(r.entry.capacity);
    }
    resources size = step.task_size;
    const std::int64_t min_milli_cores = size.milli_cores * config::min_leftover_percent / 100;
    size.milli_cores = 0;
    const bool has_memory = (r.reserved + size).fits(r.entry.capacity);
    if (requirement == runner_requirement::best_effort) {
        return has_memory && spare_milli_cores(r) > 0;
    }
    const bool meets_disturbance_limit =
        requirement != runner_requirement::benign || !is_antagonist(c.s, r, ref);
    return has_memory && r.benign_pace == full_pace && spare_milli_cores(r) >= min_milli_cores &&
           meets_disturbance_limit && is_within_latency_rise_budget(c, r, ref);
}

bool is_feasible(const context& c, const runner_record& r, const graph_task_id& id,
                 const task_ref& ref, runner_requirement requirement)
{
    const graph_step& step = *ref.step;
    const bool has_required_label =
        step.required_label.empty() || has_label(r.entry, step.required_label);
    return !r.probation_until && r.entry.service == ref.job->queue_settings.service &&
           has_required_label && has_capacity(c, r, ref, requirement) &&
           (step.max_per_runner == 0 || count_of_step(r, id) < step.max_per_runner);
}

/// Score of a runner for a task. Compared member by member in this order; higher is better.
struct placement_score {
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

placement_score score(const context& c, const runner_record& r, const task_ref& ref)
{
    const graph_step& step = *ref.step;
    placement_score s;
    s.is_other_than_failed = r.entry.id != ref.task->failed_on;
    if (ref.task->crashes.is_suspect) {
        s.is_crash_attributable = crash_suspects(c, r).empty();
        s.negative_exposed_runs = -static_cast<std::int64_t>(r.runs.size());
    }
    s.is_near_data = step.data_rack.empty() || has_label(r.entry, step.data_rack);
    s.is_benign = step.is_service || !is_antagonist(c.s, r, ref);
    s.spare_capacity = step.is_service ? image_affinity(r, ref) : spare_milli_cores(r);
    return s;
}

run_number next_run_number(const context& c, const task_record& task)
{
    const std::uint64_t first_of_term = (c.s.lease.term.value - 1) * run_numbers_per_term + 1;
    return {std::max(task.last_run.value + 1, first_of_term)};
}

/// \return true if an unreported run of an earlier term may still execute on some runner.
bool may_run_unreported(const context& c, const task_ref& ref, const task_record& task)
{
    return ref.job->recovered && c.s.scheduler.recovering && !task.is_reconciled;
}

/// Starts the task if it is ready.
/// \return false if no runner is feasible; then none is feasible for the step's other tasks either.
bool place_task(const context& c, runner_selector& selector, const graph_task_id& id,
                runner_requirement requirement = runner_requirement::full_speed)
{
    const task_ref ref = find_task(c.s, id);
    // The job may have ended in this round, see `begin_suspect_run`.
    const bool is_startable =
        ref.task->status == task_status::ready && !ref.task->current_run && !ref.job->has_ended();
    if (!is_startable || may_run_unreported(c, ref, *ref.task)) {
        return true;
    }
    runner_record* const r = selector.select_runner(id, ref, requirement);
    if (r == nullptr) {
        return false;
    }
    if (begin_suspect_run(c, id, ref)) {
        start_run(c, id, ref, *r, next_run_number(c, *ref.task));
    }
    return true;
}

/// Starts all members of a gang at once, or none.
///
/// Members are reserved one by one, and the reservations are undone before the start or if the gang
/// does not fit. Sizes rejected during the reservations must not affect other steps, so the gang
/// uses a selector of its own.
void place_gang(const context& c, const std::vector<runner_record*>& runners,
                runner_selector& round_selector, graph_task_id id)
{
    const task_ref first = find_task(c.s, id);
    if (!round_selector.may_fit_gang(first)) {
        return;
    }
    runner_selector selector{c, runners};
    const auto& tasks = first.progress->tasks;
    run_number number;
    for (const task_record& task : tasks) {
        if (task.status != task_status::ready || task.current_run ||
            may_run_unreported(c, first, task)) {
            return;
        }
        number = std::max(number, next_run_number(c, task));
    }
    std::vector<runner_record*> chosen;
    for (id.index = 0; id.index < tasks.size(); ++id.index) {
        runner_record* const r = selector.select_runner(id, find_task(c.s, id));
        if (r == nullptr) {
            break;
        }
        reserve_for_run(*r, first, id);
        chosen.push_back(r);
    }
    const bool is_complete = chosen.size() == tasks.size();
    if (!is_complete) {
        round_selector.record_rejected_gang(first);
    }
    for (id.index = 0; id.index < chosen.size(); ++id.index) {
        runner_record& r = *chosen[id.index];
        unreserve_run(r, first, id);
        if (is_complete) {
            start_run(c, id, find_task(c.s, id), r, number);
        }
    }
}

/// \return true if the job has had no run for `starvation_timeout`. One of its tasks then starts
/// even on a runner that throttles it.
bool is_starved(const context& c, const job_record& job)
{
    return job.active_runs == 0 && c.now - job.idle_since >= config::starvation_timeout;
}

void start_if_starved(const context& c, runner_selector& selector, const graph_task_id& id,
                      const job_record& job)
{
    const millis idle = c.now - job.idle_since;
    if (is_starved(c, job) && place_task(c, selector, id, runner_requirement::best_effort)) {
        c.log("starved_job_started",
              {{"task", to_string(id)}, {"idle_ms", std::to_string(idle.count)}});
    }
}

void place_step(const context& c, const std::vector<runner_record*>& runners,
                runner_selector& selector, const ready_key& key)
{
    graph_task_id id{key.job, key.occurrence, key.step, 0};
    const task_ref first = find_task(c.s, id);
    if (!first) {
        return;
    }
    if (first.step->is_gang) {
        place_gang(c, runners, selector, id);
        return;
    }
    const std::size_t count = first.progress->tasks.size();
    for (id.index = 0; id.index < count; ++id.index) {
        if (!place_task(c, selector, id)) {
            start_if_starved(c, selector, id, *first.job);
            return;
        }
    }
}

} // namespace

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

runner_selector::runner_selector(const context& c, const std::vector<runner_record*>& runners)
    : c_{c}, runners_{runners}
{
}

runner_selector::requirement_key runner_selector::requirement_key_of(const task_ref& ref,
                                                                     runner_requirement requirement)
{
    const graph_step& step = *ref.step;
    // The image only matters for leftover tasks, as it determines the expected disturbance.
    const image_number image = step.uses_leftover ? ref.image : 0;
    return {ref.job->queue_settings.service, step.required_label, image, step.uses_leftover,
            requirement};
}

bool runner_selector::is_known_not_to_fit(const requirement_key& requirement,
                                          const resources& size) const
{
    const auto found = rejected_sizes_.find(requirement);
    return found != rejected_sizes_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&size](const resources& failed) { return failed.fits(size); });
}

bool runner_selector::may_fit_gang(const task_ref& ref) const
{
    const auto found =
        rejected_gangs_.find(requirement_key_of(ref, runner_requirement::full_speed));
    if (found == rejected_gangs_.end()) {
        return true;
    }
    const gang_size asked{ref.step->task_size, ref.progress->tasks.size()};
    return std::none_of(found->second.begin(), found->second.end(), [&](const gang_size& failed) {
        return failed.member.fits(asked.member) && failed.members <= asked.members;
    });
}

void runner_selector::record_rejected_gang(const task_ref& ref)
{
    if (ref.step->max_per_runner == 0) {
        rejected_gangs_[requirement_key_of(ref, runner_requirement::full_speed)].push_back(
            {ref.step->task_size, ref.progress->tasks.size()});
    }
}

runner_record* runner_selector::select_runner(const graph_task_id& id, const task_ref& ref,
                                              runner_requirement requirement)
{
    const requirement_key asked = requirement_key_of(ref, requirement);
    if (is_known_not_to_fit(asked, ref.step->task_size)) {
        return nullptr;
    }
    runner_record* best{nullptr};
    placement_score best_score;
    c_.s.scheduler.runners_scored += runners_.size();
    for (runner_record* const r : runners_) {
        if (!is_feasible(c_, *r, id, ref, requirement)) {
            continue;
        }
        const placement_score s = score(c_, *r, ref);
        if (best == nullptr || s > best_score) {
            best = r;
            best_score = s;
        }
    }
    // With a limit per runner the rejection only applies to this step, so it is not recorded.
    if (best == nullptr && ref.step->max_per_runner == 0) {
        rejected_sizes_[asked].push_back(ref.step->task_size);
    }
    return best;
}

void place_ready_tasks(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    if (!c.is_scheduler() || !s.placement_due || !may_send_orders(c) || c.s.lease.releasing) {
        return;
    }
    const instant next = s.last_placement_at + config::placement_interval;
    if (!s.has_new_ready && c.now < next) {
        c.wake_by(next);
        return;
    }
    s.placement_due = false;
    s.has_new_ready = false;
    s.last_placement_at = c.now;
    if (s.ready.empty()) {
        return;
    }
    ++s.placement_rounds;
    const std::vector<runner_record*> runners = schedulable_runners(c);
    runner_selector selector{c, runners};
    const std::vector<ready_key> order{s.ready.begin(), s.ready.end()};
    for (const ready_key& key : order) {
        place_step(c, runners, selector, key);
    }
}

} // namespace cuminmoor::central
