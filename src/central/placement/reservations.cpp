/// \file
/// Services that ran before and have no run: which of them may start, the room that is kept for
/// them, and why they wait. See docs/design/services-first.md.
#include "central/lease/handover.h"
#include "central/runs/run_parts.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

resources free_of(const runner_record& r)
{
    resources free = r.entry.capacity;
    free -= r.reserved;
    return free;
}

/// \return `wanted`, but in no dimension more than what is free.
resources limited_to(resources wanted, const resources& free)
{
    const auto limit = [](std::int64_t want, std::int64_t most) {
        return std::clamp(most, std::int64_t{0}, want);
    };
    return {limit(wanted.milli_cores, free.milli_cores), limit(wanted.memory_mib, free.memory_mib),
            limit(wanted.accelerators, free.accelerators)};
}

/// \return the largest share of the runner's capacity that is missing in any dimension.
double missing_share(const runner_record& r, const resources& wanted)
{
    const resources free = free_of(r);
    const auto share = [](std::int64_t want, std::int64_t has, std::int64_t capacity) {
        return want <= has ? 0 : static_cast<double>(want - has) / static_cast<double>(capacity);
    };
    return std::max({share(wanted.milli_cores, free.milli_cores, r.entry.capacity.milli_cores),
                     share(wanted.memory_mib, free.memory_mib, r.entry.capacity.memory_mib),
                     share(wanted.accelerators, free.accelerators, r.entry.capacity.accelerators)});
}

/// A run that will give its room back.
struct expected_end {
    instant at;
    resources size;
};

/// \return when a run is expected to end. One that is late by some time is
/// expected to take as long again.
instant expected_end_of(const context& c, const task_ref& ref)
{
    const run& r = *ref.task->current_run;
    if (r.phase == run_phase::stopping) {
        return c.now;
    }
    const instant estimate = r.ordered_at + expected_run_time(c.s, ref);
    return estimate >= c.now ? estimate : c.now + (c.now - estimate);
}

/// \return the ends of runs on the runner, earliest first; services that are not stopped have none.
std::vector<expected_end> expected_ends(const context& c, const runner_record& r)
{
    std::vector<expected_end> ends;
    for (const graph_task_id& id : r.runs) {
        const task_ref ref = find_task(c.s, id);
        if (!ref || !ref.task->current_run) {
            continue;
        }
        if (ref.step->is_service && ref.task->current_run->phase != run_phase::stopping) {
            continue;
        }
        resources size = ref.step->task_size;
        if (ref.step->uses_leftover) {
            size.milli_cores = 0;
        }
        ends.push_back({expected_end_of(c, ref), size});
    }
    std::sort(ends.begin(), ends.end(),
              [](const expected_end& a, const expected_end& b) { return a.at < b.at; });
    return ends;
}

/// \return when the runner is expected to have this room; empty: never, as services take it.
std::optional<instant> expected_room_at(const context& c, const runner_record& r,
                                        const resources& wanted)
{
    resources free = free_of(r);
    instant at = c.now;
    for (const expected_end& end : expected_ends(c, r)) {
        if (wanted.fits(free)) {
            break;
        }
        free += end.size;
        at = end.at;
    }
    return wanted.fits(free) ? std::optional{at} : std::nullopt;
}

/// Room that is kept on each runner for waiting services, in full.
using kept_rooms = std::map<runner_id, resources>;

/// \return the room that a service needs on the runner beside the services for which it is kept.
resources wanted_room(const kept_rooms& kept, const runner_record& r, const task_ref& ref)
{
    const auto found = kept.find(r.entry.id);
    return found == kept.end() ? ref.step->task_size : found->second + ref.step->task_size;
}

/// \return the runners that lack the least room for the service, at most `max_estimated_runners`.
std::vector<runner_record*> most_free_runners(const context& c, const kept_rooms& kept,
                                              const std::vector<runner_record*>& runners,
                                              const graph_task_id& id, const task_ref& ref)
{
    std::vector<std::pair<double, runner_record*>> found;
    c.s.scheduler.runners_scored += runners.size();
    for (runner_record* const r : runners) {
        const resources wanted = wanted_room(kept, *r, ref);
        const bool may_hold =
            meets_constraints(*r, id, ref) && wanted.fits(r->entry.capacity) &&
            r->service_milli_cores + wanted.milli_cores <= r->entry.capacity.milli_cores;
        if (may_hold) {
            found.emplace_back(missing_share(*r, wanted), r);
        }
    }
    const std::size_t count = std::min(found.size(), config::max_estimated_runners);
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(count),
                      found.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<runner_record*> most_free;
    for (std::size_t i{0}; i < count; ++i) {
        most_free.push_back(found[i].second);
    }
    return most_free;
}

/// Chooses the runner that is expected to have room for the service first; there may be none.
void choose_runner(const context& c, const kept_rooms& kept,
                   const std::vector<runner_record*>& runners, const graph_task_id& id,
                   const task_ref& ref)
{
    waiting_service& waiting = c.s.scheduler.waiting_services.at(id);
    waiting.kept_on = {};
    for (const runner_record* const r : most_free_runners(c, kept, runners, id, ref)) {
        const auto at = expected_room_at(c, *r, wanted_room(kept, *r, ref));
        const bool is_better =
            at && (waiting.kept_on.value.empty() || *at < waiting.expected_room_at);
        if (is_better) {
            waiting.kept_on = r->entry.id;
            waiting.expected_room_at = *at;
        }
    }
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
            found == kept.end() ? resources{} : limited_to(found->second, free_of(r));
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
