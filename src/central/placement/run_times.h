/// \file
/// How long a task is expected to run.
#pragma once

#include "central/context.h"
#include "central/jobs/jobs.h"

namespace cuminmoor::central {

/// Takes the time of a task's current run, which has just ended as done, into account. No effect
/// unless it was whole, at full speed, and the deployment asks for corrected run times.
void record_run_time(const context& c, const task_ref& ref);
/// \return the expected time of a whole run at full speed on a sound runner, at least 1 ms: its
/// owner's estimate, corrected by the ends of like tasks where the deployment asks for that.
/// \param ref its task, occurrence and progress may be null.
millis expected_run_time(const central_state& s, const task_ref& ref);

} // namespace cuminmoor::central
