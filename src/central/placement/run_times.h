/// \file
/// How long a task is expected to run.
#pragma once

#include "central/context.h"
#include "central/jobs/jobs.h"

namespace cuminmoor::central {

/// \return the expected time of a whole run at full speed on a sound runner, at least 1 ms; its
/// owner's estimate.
millis expected_run_time(const central_state& s, const task_ref& ref);

} // namespace cuminmoor::central
