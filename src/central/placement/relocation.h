/// \file
/// Relocation of throttled tasks.
#pragma once

#include "central/context.h"

namespace cuminmoor::central {

/// Stops throttled tasks that would end sooner on another runner, once per `relocation_period`.
void relocate_throttled_tasks(const context& c);
/// \return true if a throttled run would end sooner at full speed elsewhere by a factor of at least
/// `min_relocation_speedup`, including the cost of the move.
bool is_relocation_worthwhile(millis whole_run, const graph_step& step, const run& r);

} // namespace cuminmoor::central
