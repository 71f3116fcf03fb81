/// \file
/// Look-ahead in placement: the load is many small tasks beside a few large ones. Each gap that
/// comes free suits a small task first, so that large ones wait until the small ones have ended.
///
/// For the most urgent large tasks that fit nowhere, room is kept on the runner that is expected to
/// have it first. Less urgent tasks start in it only if they end before.
#include "central/placement/lookahead.h"

#include <algorithm>
#include <bit>
#include <optional>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "central/organisations/quota.h"
#include "central/placement/reservations.h"
#include "central/placement/room_estimates.h"
#include "central/placement/run_times.h"
#include "central/placement/runner_selector.h"
#include "central/runs/run_parts.h"
#include "dominant_share.h"

namespace cuminmoor::central {

namespace {

constexpr std::int64_t percent{100};

bool is_of_step(const graph_task_id& id, const ready_key& step)
{
    return std::tie(id.job, id.occurrence, id.step) ==
           std::tie(step.job, step.occurrence, step.step);
}

/// \return true if the task comes before the step by priority and deadline, as in `ready_key`;
/// order by what is attainable and by shares does not count here.
bool is_more_urgent(const graph_task_id& id, const task_ref& ref, const ready_key& step)
{
    return std::tie(ref.job->queue_settings.priority, ref.job->deadline, id.job, id.occurrence,
                    id.step) <
           std::tie(step.priority, step.deadline, step.job, step.occurrence, step.step);
}

graph_task_id first_task_of(const ready_key& step)
{
    return {step.job, step.occurrence, step.step, 0};
}

/// \return true for tasks whose need of room is known in advance. Leftover tasks need what services
/// do not use at the time, gangs start all at once, and returning services have room of their own.
bool is_plannable(const task_ref& ref)
{
    return !ref.step->uses_leftover && !ref.step->is_gang && !is_returning_service(ref);
}

/// \return true if room may be kept there for the task, whatever runs there now.
bool may_keep_room(const runner_record& r, const graph_task_id& id, const task_ref& ref)
{
    const resources& size = ref.step->task_size;
    return !r.reservation && size.fits(r.entry.capacity) && meets_constraints(r, id, ref) &&
           dominant_share(size, r.entry.capacity) * percent >= config::large_task_percent;
}

/// \return the runner that is expected to have room for the task first; null if none has it within
/// `max_reservation_wait`.
expected_room first_room(const context& c, const std::vector<runner_record*>& runners,
                         const graph_task_id& id, const task_ref& ref)
{
    std::vector<room_candidate> candidates;
    c.s.scheduler.runners_scored += runners.size();
    for (runner_record* const r : runners) {
        if (may_keep_room(*r, id, ref)) {
            candidates.push_back({r, ref.step->task_size + r->kept_for_services});
        }
    }
    const expected_room first = first_expected_room(c, candidates);
    return first.at < c.now + config::max_reservation_wait ? first : expected_room{};
}

/// Gives up the least urgent reservation if it is for a less urgent step.
/// \return true if there is room for one more.
bool make_way(const context& c, const ready_key& step)
{
    scheduler_state& s = c.s.scheduler;
    if (s.reserved_runners.size() < config::max_reservations) {
        return true;
    }
    runner_record* last{nullptr};
    for (const runner_id& id : s.reserved_runners) {
        runner_record* const r = find_runner(c, id);
        if (last == nullptr || last->reservation->step < r->reservation->step) {
            last = r;
        }
    }
    if (last == nullptr || !(step < last->reservation->step)) {
        return false;
    }
    give_up_reservation(c, *last, "displaced");
    return true;
}

/// \return true if another of the step's waiting tasks needs room.
bool wants_room(const context& c, const ready_key& step, const task_ref& ref)
{
    const auto& reserved = c.s.scheduler.reserved_steps;
    const auto found = reserved.find(step);
    return is_plannable(ref) && (found == reserved.end() || found->second < ref.progress->ready);
}

void keep(const context& c, const ready_key& step, const resources& size, const expected_room& room)
{
    scheduler_state& s = c.s.scheduler;
    room.runner->reservation = {step, size, c.now, room.at};
    s.reserved_runners.insert(room.runner->entry.id);
    ++s.reserved_steps[step];
    ++s.lookahead.made;
    c.log("room_reserved", {{"task", to_string(first_task_of(step))},
                            {"runner", room.runner->entry.id.value},
                            {"expected_in_ms", absl::StrCat((room.at - c.now).count)},
                            {"reserved_runners", absl::StrCat(s.reserved_runners.size())}});
}

void forget(const context& c, runner_record& r)
{
    scheduler_state& s = c.s.scheduler;
    s.reserved_runners.erase(r.entry.id);
    const auto found = s.reserved_steps.find(r.reservation->step);
    if (--found->second == 0) {
        s.reserved_steps.erase(found);
    }
    r.reservation.reset();
}

/// \return why the reservation cannot be used any more; null if it can. Estimates the time anew
/// when the room has not come.
const char* revise(const context& c, runner_record& r)
{
    room_reservation& kept = *r.reservation;
    const scheduler_state& s = c.s.scheduler;
    if (!is_schedulable(c, r)) {
        return "runner_unusable";
    }
    const task_ref ref = find_task(c.s, first_task_of(kept.step));
    if (!ref || !s.ready.contains(kept.step) ||
        s.reserved_steps.at(kept.step) > ref.progress->ready) {
        return "not_waiting";
    }
    if (!is_within_quota(c, ref)) {
        return "quota";
    }
    if (c.now - kept.made_at >= config::max_reservation_time) {
        return "too_long";
    }
    if (c.now < kept.expected_at + config::room_estimate_margin) {
        return nullptr;
    }
    const auto at = expected_room_at(c, r, kept.size + r.kept_for_services);
    if (!at) {
        return "no_room_expected";
    }
    kept.expected_at = std::max(kept.expected_at, *at);
    return nullptr;
}

} // namespace

bool ends_in_time(const backfill& task)
{
    const std::int64_t run_time =
        task.expected_run_time.count * (percent + config::backfill_margin_percent) / percent;
    return task.now + millis{run_time} + config::run_end_delay <= task.reserved_at;
}

resources room_kept_from(const context& c, const runner_record& r, const graph_task_id& id,
                         const task_ref& ref)
{
    if (!r.reservation) {
        return {};
    }
    // A task with a run there has its room already.
    const bool has_room = ref.task->current_run && ref.task->current_run->runner == r.entry.id;
    if (has_room || is_of_step(id, r.reservation->step) ||
        is_more_urgent(id, ref, r.reservation->step)) {
        return {};
    }
    const backfill gap{c.now, expected_run_time(c.s, ref), r.reservation->expected_at};
    if (!ref.step->is_service && ends_in_time(gap)) {
        return {};
    }
    return limited_to(r.reservation->size, free_room(r) - r.kept_for_services);
}

bool has_reservation(const context& c, const graph_task_id& id, const task_ref& ref)
{
    const auto& reserved = c.s.scheduler.reserved_steps;
    return !reserved.empty() && reserved.contains(ready_key_of(*ref.job, id));
}

bool must_revise_reservations(const context& c)
{
    const scheduler_state& s = c.s.scheduler;
    if (s.reserved_runners.empty() || c.now >= s.reservations_check_at) {
        return !s.reserved_runners.empty();
    }
    c.wake_by(s.reservations_check_at);
    return false;
}

void revise_reservations(const context& c)
{
    c.s.scheduler.reservations_check_at = c.now + config::reservation_check_period;
    const std::set<runner_id> reserved = c.s.scheduler.reserved_runners;
    for (const runner_id& id : reserved) {
        runner_record& r = *find_runner(c, id);
        if (const char* const cause = revise(c, r)) {
            give_up_reservation(c, r, cause);
        }
    }
}

void reserve_room(const context& c, const std::vector<runner_record*>& runners,
                  const std::vector<ready_key>& rejected)
{
    std::size_t tried{0};
    for (const ready_key& step : rejected) {
        const graph_task_id id = first_task_of(step);
        const task_ref ref = find_task(c.s, id);
        if (!ref || !wants_room(c, step, ref)) {
            continue;
        }
        if (tried == config::max_new_reservations || !make_way(c, step)) {
            return;
        }
        ++tried;
        const expected_room room = first_room(c, runners, id, ref);
        if (room.runner != nullptr) {
            keep(c, step, ref.step->task_size, room);
        }
    }
}

void note_reserved_start(const context& c, runner_record& r, const graph_task_id& id,
                         const task_ref& ref)
{
    if (!r.reservation) {
        return;
    }
    scheduler_state& s = c.s.scheduler;
    if (!is_of_step(id, r.reservation->step)) {
        s.lookahead.backfilled += is_more_urgent(id, ref, r.reservation->step) ? 0 : 1;
        return;
    }
    ++s.lookahead.used;
    c.log("reservation_used",
          {{"task", to_string(id)},
           {"runner", r.entry.id.value},
           {"kept_ms", absl::StrCat((c.now - r.reservation->made_at).count)},
           {"expected_ms_ago", absl::StrCat((c.now - r.reservation->expected_at).count)}});
    forget(c, r);
}

void give_up_reservation(const context& c, runner_record& r, const char* cause)
{
    if (!r.reservation) {
        return;
    }
    ++c.s.scheduler.lookahead.given_up;
    c.log("reservation_given_up",
          {{"task", to_string(first_task_of(r.reservation->step))},
           {"runner", r.entry.id.value},
           {"cause", cause},
           {"kept_ms", absl::StrCat((c.now - r.reservation->made_at).count)}});
    forget(c, r);
}

std::int64_t packing_score(const runner_record& r, const resources& size)
{
    const resources& capacity = r.entry.capacity;
    const resources free = free_room(r);
    const double cores = ratio(size.milli_cores, capacity.milli_cores);
    const double memory = ratio(size.memory_mib, capacity.memory_mib);
    const double accelerators = ratio(size.accelerators, capacity.accelerators);
    if (accelerators > std::max(cores, memory)) {
        return size.accelerators - free.accelerators;
    }
    return memory > cores ? size.memory_mib - free.memory_mib : size.milli_cores - free.milli_cores;
}

std::uint32_t run_time_class(const context& c, const task_ref& ref)
{
    const bool has_gaps = !c.s.scheduler.reserved_runners.empty();
    if (!has_gaps || ref.step->is_service || ref.step->uses_leftover) {
        return 0;
    }
    const auto ms = static_cast<std::uint64_t>(expected_run_time(c.s, ref).count);
    return static_cast<std::uint32_t>(std::bit_width(ms));
}

} // namespace cuminmoor::central
