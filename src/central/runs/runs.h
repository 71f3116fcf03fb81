/// \file
/// Starts and resource accounting of runs.
#pragma once

#include <cstdint>

#include "central/context.h"
#include "central/jobs/jobs.h"

namespace cuminmoor::central {

/// Reserves resources for a run and orders its start; that of a service once its place is stored.
void start_run(const context& c, const graph_task_id& id, task_ref ref, runner_record& r,
               run_number number);
/// Orders the starts whose places are stored, on runners that can still take them.
void order_stored_starts(const context& c);
/// Stops the runs on a draining runner that lose no progress by a stop: services and tasks with
/// checkpoints.
void evict_from_draining_runner(const context& c, runner_record& r);
/// Makes a run the task's current run and reserves its resources on the runner.
void attach_run(const context& c, const task_ref& ref, runner_record& r, const graph_task_id& id,
                const run& started);
/// Removes the task's current run and its reservation.
/// \param r null if the runner was removed.
void detach_run(const context& c, const task_ref& ref, runner_record* r, const graph_task_id& id);
/// Adds a run to the runner and reserves its resources; no effect if the task already has a run
/// there.
void reserve_for_run(runner_record& r, const task_ref& ref, const graph_task_id& id);
/// Undoes `reserve_for_run`.
void unreserve_run(runner_record& r, const task_ref& ref, const graph_task_id& id);
/// Removes a run that has certainly ended and requeues its task.
void release_run(const context& c, const graph_task_id& id, task_ref ref);
/// Why no run of a runner can exist any more.
enum class loss_evidence : std::uint8_t { other_incarnation, leases_expired };
/// Marks the runs of services on a runner as lost, as all leases there have expired.
void mark_services_lost(const context& c, runner_record& r);
/// Marks all runs on a runner as lost.
void mark_all_runs_lost(const context& c, runner_record& r, loss_evidence evidence);
/// Marks runs as lost if a restarted runner does not report them. A run is stopped instead if its
/// start was confirmed after the hold was sent, as the report may predate it, or if the report may
/// lack its end.
void drop_unreported_runs(const context& c, runner_record& r, const runner_hold_ended& report);

} // namespace cuminmoor::central
