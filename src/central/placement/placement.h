/// \file
/// Rounds in which ready tasks are placed on runners.
#pragma once

#include "central/context.h"

namespace cuminmoor::central {

/// Starts ready tasks on feasible runners, most urgent steps first.
void place_ready_tasks(const context& c);

} // namespace cuminmoor::central
