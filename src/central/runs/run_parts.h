/// \file
/// Functions shared by the sources that manage runs.
#pragma once

#include "central/parts.h"

namespace cuminmoor::central {

/// \return the runner, or null if it was removed or never known.
runner_record* find_runner(const context& c, const runner_id& id);
/// \return true if this run is the task's current run.
bool is_current_run(const task_ref& ref, const runner_id& runner, run_number number);
/// \return an order with the fields common to all kinds of orders filled in.
runner_order make_order(const context& c, const runner_record& r, const graph_task_id& id,
                        order_kind kind, run_number number);
/// Records an orphan run and orders its stop, unless this run or a later one of the task is already
/// recorded.
void stop_orphan(const context& c, runner_record& r, const graph_task_id& id, run_number number);
/// \return the stop of a current run or an orphan run on the runner, or null if there is none.
run_stop* find_stop(const context& c, runner_record& r, const graph_task_id& id, run_number number);
/// Records that the runner has confirmed a stop.
void confirm_stop(const context& c, const runner_record& r, const runner_order_ended& e,
                  run_stop& stop);
/// Stops a reported run again if the runner confirmed its stop longer than `stop_completion_time`
/// before the report.
void repeat_unexecuted_stop(const context& c, runner_record& r, const reported_run& reported);
/// Logs an event of a run that is being stopped.
void log_stop(const context& c, const char* name, const unconfirmed_stop& stopped,
              const run_stop& stop, const char* outcome);
/// Ends the repeats of a run's stop order.
void forget_stop(const context& c, const graph_task_id& id, const run& stopped);
/// Logs an event of a runner.
void log_runner(const context& c, const char* name, const runner_record& r,
                const std::string& detail);
/// Logs an event of a run.
void log_run(const context& c, const char* name, const graph_task_id& id, const run& r,
             const char* outcome);
/// Records that the task runs on this incarnation of the runner, whatever the store says.
void keep_place(const context& c, const task_ref& ref, const runner_record& r);
/// Records that a task runs on no runner.
void forget_place(const context& c, const task_ref& ref);
/// Makes an active task without a run ready again, unless its job has ended.
void requeue_task(const context& c, const graph_task_id& id, task_ref ref);

} // namespace cuminmoor::central
