/// \file
/// Services that ran before and have no run: which of them may start, the room that is kept for
/// them, and why they wait. See docs/design/services-first.md.
#include "central/lease/handover.h"
#include "central/placement/room_estimates.h"
#include "central/runs/run_parts.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

/// Room that is kept on each runner for waiting services, in full.
using kept_rooms = std::map<runner_id, resources>;

/// \return the room that a service needs on the runner beside the services for which it is kept.
resources wanted_room(const kept_rooms& kept, const runner_record& r, const task_ref& ref)
{
    const auto found = kept.find(r.entry.id);
    return found == kept.end() ? ref.step->task_size : found->second + ref.step->task_size;
}

/// \return the runners that could take the service, whatever runs there but services.
std::vector<room_candidate> candidates_for(const context& c, const kept_rooms& kept,
                                           const std::vector<runner_record*>& runners,
                                           const graph_task_id& id, const task_ref& ref)
{
    std::vector<room_candidate> found;
    c.s.scheduler.runners_scored += runners.size();
    for (runner_record* const r : runners) {
        const resources wanted = wanted_room(kept, *r, ref);
        const bool may_hold =
            meets_constraints(*r, id, ref) && wanted.fits(r->entry.capacity) &&
            r->service_milli_cores + wanted.milli_cores <= r->entry.capacity.milli_cores;
        if (may_hold) {
            found.push_back({r, wanted});
        }
    }
    return found;
}

/// Chooses the runner that is expected to have room for the service first; there may be none.
void choose_runner(const context& c, const kept_rooms& kept,
                   const std::vector<runner_record*>& runners, const graph_task_id& id,
                   const task_ref& ref)
{
    waiting_service& waiting = c.s.scheduler.waiting_services.at(id);
    const expected_room first = first_expected_room(c, candidates_for(c, kept, runners, id, ref));
    waiting.kept_on = first.runner == nullptr ? runner_id{} : first.runner->entry.id;
    waiting.expected_room_at = first.at;
}

/// \return true if the choice made before still holds.
bool is_choice_valid(const context& c, const kept_rooms& kept, const graph_task_id& id,
                     const task_ref& ref)
{
    const waiting_service& waiting = c.s.scheduler.waiting_services.at(id);
    const runner_record* const r = find_runner(c, waiting.kept_on);
    return r != nullptr && is_schedulable(c, *r) &&
           c.now < waiting.expected_room_at + config::room_estimate_margin &&
           meets_constraints(*r, id, ref) &&
           expected_room_at(c, *r, wanted_room(kept, *r, ref)).has_value();
}

/// Why a runner does not take a waiting service, by runner.
struct withheld_runners {
    std::uint32_t lease{0};
    std::uint32_t probation{0};
    std::uint32_t avoided{0};
    std::uint32_t unusable{0};
    std::uint32_t label{0};
    std::uint32_t limit{0};
    std::uint32_t room{0};
};

void count_withheld(const context& c, const runner_record& r, const graph_task_id& id,
                    const task_ref& ref, withheld_runners& counts)
{
    if (!may_grant_leases(c, r)) {
        ++counts.lease;
    }
    else if (r.probation_until) {
        ++counts.probation;
    }
    else if (c.now < r.avoided_until) {
        ++counts.avoided;
    }
    else if (!is_schedulable(c, r)) {
        ++counts.unusable;
    }
    else if (meets_constraints(r, id, ref)) {
        ++counts.room;
    }
    else if (ref.step->max_per_runner != 0 && meets_label(r, ref)) {
        ++counts.limit;
    }
    else {
        ++counts.label;
    }
}

/// \return why the task itself may not start.
const char* withheld_because(const context& c, const graph_task_id& id, const task_ref& ref)
{
    if (may_have_unreported_run(c, ref)) {
        return "unreported_run";
    }
    if (awaits_restart(c, ref)) {
        return "short_runs";
    }
    if (!is_within_quota(c, ref)) {
        return "quota";
    }
    return is_held_back(c, id, ref) ? "crashes" : "none";
}

std::string names_of(const std::deque<graph_task_id>& tasks)
{
    std::string names;
    for (const graph_task_id& each : tasks) {
        absl::StrAppend(&names, names.empty() ? "" : ",", to_string(each));
    }
    return names;
}

void log_wait(const context& c, const graph_task_id& id, const task_ref& ref)
{
    withheld_runners counts;
    for (const auto& [runner, r] : c.s.scheduler.runners) {
        count_withheld(c, r, id, ref, counts);
    }
    const scheduler_state& s = c.s.scheduler;
    const auto& waiting = s.waiting_services;
    c.log("service_waits",
          {{"task", to_string(id)},
           {"waited_ms", absl::StrCat((c.now - *ref.task->without_run_since).count)},
           {"waiting", absl::StrCat(waiting.size())},
           {"task_withheld", withheld_because(c, id, ref)},
           {"kept_on", waiting.at(id).kept_on.value},
           {"started_meanwhile", absl::StrCat(s.starts - waiting.at(id).starts_before)},
           {"last_started", names_of(s.last_started)},
           {"room", absl::StrCat(counts.room)},
           {"label", absl::StrCat(counts.label)},
           {"limit", absl::StrCat(counts.limit)},
           {"probation", absl::StrCat(counts.probation)},
           {"avoided", absl::StrCat(counts.avoided)},
           {"lease", absl::StrCat(counts.lease)},
           {"unusable", absl::StrCat(counts.unusable)}});
}

/// Sorts waiting services: of the same priority, the one that has waited longest comes first, so
/// that none waits for ever while room comes free now and then.
struct service_turn {
    std::int32_t priority{0};
    instant without_run_since;
    ready_key step;
    graph_task_id task;

    auto operator<=>(const service_turn&) const = default;
};

bool has_run_before(const task_ref& ref)
{
    const bool ran_in_earlier_term = ref.job->recovered && ref.job->state == job_state::running;
    return ref.task->last_run.value != 0 || !ref.task->placed_on.value.empty() ||
           ran_in_earlier_term;
}

} // namespace

bool is_returning_service(const task_ref& ref)
{
    return ref.step->is_service && !ref.step->is_gang && !ref.step->uses_leftover &&
           has_run_before(ref);
}

void add_waiting_service(const context& c, const graph_task_id& id, const task_ref& ref)
{
    if (!is_returning_service(ref)) {
        return;
    }
    if (!ref.task->without_run_since) {
        ref.task->without_run_since = c.now;
    }
    c.s.scheduler.waiting_services.try_emplace(id, waiting_service{c.s.scheduler.starts, {}, {}});
}

void note_start(const context& c, const graph_task_id& id)
{
    scheduler_state& s = c.s.scheduler;
    ++s.starts;
    s.last_started.push_back(id);
    if (s.last_started.size() > config::logged_starts) {
        s.last_started.pop_front();
    }
}

void remove_waiting_service(const context& c, const graph_task_id& id)
{
    if (c.s.scheduler.waiting_services.erase(id) > 0) {
        c.s.scheduler.services_due = true;
    }
}

std::vector<graph_task_id> startable_services(const context& c)
{
    std::vector<service_turn> turns;
    for (const auto& [id, waiting] : c.s.scheduler.waiting_services) {
        const task_ref ref = find_task(c.s, id);
        if (ref && !may_have_unreported_run(c, ref) && !awaits_restart(c, ref) &&
            !is_held_back(c, id, ref)) {
            const ready_key step = ready_key_of(*ref.job, id);
            turns.push_back({step.priority, *ref.task->without_run_since, step, id});
        }
    }
    std::sort(turns.begin(), turns.end());
    std::vector<graph_task_id> ids;
    ids.reserve(turns.size());
    for (const service_turn& each : turns) {
        ids.push_back(each.task);
    }
    return ids;
}

void keep_room(const context& c, const service_pass& pass,
               const std::vector<graph_task_id>& services)
{
    scheduler_state& s = c.s.scheduler;
    kept_rooms kept;
    for (const graph_task_id& id : services) {
        const task_ref ref = find_task(c.s, id);
        std::uint64_t& no_room_kept_in = ref.progress->no_room_kept_in;
        waiting_service& waiting = s.waiting_services.at(id);
        if (!is_choice_valid(c, kept, id, ref)) {
            waiting.kept_on = {};
            // If there was no choice for another task of the step, there is none for this one.
            if (no_room_kept_in != pass.number) {
                choose_runner(c, kept, pass.runners_for(no_room_kept_in), id, ref);
            }
        }
        if (waiting.kept_on.value.empty()) {
            no_room_kept_in = pass.number;
            continue;
        }
        kept[waiting.kept_on] += ref.step->task_size;
    }
    for (auto& [id, r] : s.runners) {
        const auto found = kept.find(id);
        r.kept_for_services =
            found == kept.end() ? resources{} : limited_to(found->second, free_room(r));
    }
    s.keeps_room = !kept.empty();
}

void log_waiting_services(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    if (c.now - s.service_wait_logged_at < config::service_wait_log_period) {
        return;
    }
    const graph_task_id* longest{nullptr};
    instant since = c.now - config::logged_service_wait;
    for (const auto& [id, waiting] : s.waiting_services) {
        const task_ref ref = find_task(c.s, id);
        if (ref && *ref.task->without_run_since < since) {
            longest = &id;
            since = *ref.task->without_run_since;
        }
    }
    if (longest != nullptr) {
        s.service_wait_logged_at = c.now;
        log_wait(c, *longest, find_task(c.s, *longest));
    }
}

} // namespace cuminmoor::central
