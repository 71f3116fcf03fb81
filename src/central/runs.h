/// \file
/// What the files about runs share.
#pragma once

#include "parts.h"

namespace cuminmoor::central {

/// \return the runner, or null once it is forgotten.
runner_record* find_runner(const context& c, const runner_id& id);
/// \return true when this run is the task's.
bool is_current_run(const task_place& place, const runner_id& runner, run_number number);
/// \return an order with all that every kind of order has.
runner_order make_order(const context& c, const runner_record& r, const graph_task_id& id,
                        order_kind kind, run_number number);
void order_stop(const context& c, const runner_record& r, const graph_task_id& id,
                run_number number);
/// Stops what runs there for no task of ours.
void stop_orphan(const context& c, runner_record& r, const graph_task_id& id, run_number number);
void log_run(const context& c, const char* name, const graph_task_id& id, const run& r,
             const char* outcome);
/// A task that was active and has no run any more is ready, unless its job is over.
void requeue_task(const context& c, const graph_task_id& id, task_place place);

} // namespace cuminmoor::central
