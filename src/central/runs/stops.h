/// \file
/// Orders to stop runs.
#pragma once

#include "central/context.h"

namespace cuminmoor::central {

/// Marks a run as stopping and orders its stop. The order is repeated until the runner confirms it.
void stop_run(const context& c, const graph_task_id& id, run& r);
/// Repeats the orders of unconfirmed stops that are due.
void repeat_unconfirmed_stops(const context& c);

} // namespace cuminmoor::central
