/// \file
/// Processing of runners' reports.
#pragma once

#include "central/context.h"

namespace cuminmoor::central {

void process_reported_end(const context& c, runner_record& r, const reported_end& e);
void process_reported_runs(const context& c, runner_record& r, const runner_hold_ended& report);

} // namespace cuminmoor::central
