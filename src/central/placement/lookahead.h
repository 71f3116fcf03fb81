/// \file
/// Room that is kept for large tasks that wait, and the gaps that smaller ones may use meanwhile.
/// See docs/design/lookahead.md.
#pragma once

#include <cstdint>
#include <vector>

#include "central/context.h"
#include "central/jobs/jobs.h"

namespace cuminmoor::central {

/// A task that could start now in room that is kept from `reserved_at` on.
struct backfill {
    instant now;
    /// Of the whole run.
    millis expected_run_time;
    instant reserved_at;
};

/// \return true if the task ends before the room is needed, also if its run time is underestimated
/// by `backfill_margin_percent`.
bool ends_in_time(const backfill& task);

/// \return the room on the runner that the task must leave free for a large task that waits for it.
resources room_kept_from(const context& c, const runner_record& r, const graph_task_id& id,
                         const task_ref& ref);
/// \return true if room is kept for the task's step on some runner.
bool has_reservation(const context& c, const graph_task_id& id, const task_ref& ref);
/// \return true if reservations have not been revised for `reservation_check_period`; wakes the
/// reducer for that.
bool must_revise_reservations(const context& c);
/// Gives up what cannot be used any more: the runner has gone, the task waits no longer, or the
/// room has not come for too long.
void revise_reservations(const context& c);
/// Keeps room for further tasks of steps that fitted nowhere, the most urgent steps first; at most
/// `max_new_reservations` steps are tried in a round. A more urgent step displaces the least urgent
/// one if there are `max_reservations`. \param rejected in order of urgency.
void reserve_room(const context& c, const std::vector<runner_record*>& runners,
                  const std::vector<ready_key>& rejected);
/// Ends the reservation that the start uses; counts it if it uses a gap instead.
void note_reserved_start(const context& c, runner_record& r, const graph_task_id& id,
                         const task_ref& ref);
/// Ends the reservation on a runner.
void give_up_reservation(const context& c, runner_record& r, const char* cause);

/// \return a score for a task that ends: higher on runners on which it leaves less free room of the
/// kind that it needs most, so that large gaps stay whole.
std::int64_t packing_score(const runner_record& r, const resources& size);
/// \return a number that is the same for tasks of similar run times, as the gaps that are open to
/// them differ; 0 for services and leftover tasks, and while no room is kept.
std::uint32_t run_time_class(const context& c, const task_ref& ref);

} // namespace cuminmoor::central
