/// \file
/// Services whose runs end by themselves.
#pragma once

#include "central/context.h"
#include "central/jobs/jobs.h"

namespace cuminmoor::central {

/// Records that the current run of a service task is reported as done or failed; it is started
/// again all the same.
void record_service_exit(const context& c, const graph_task_id& id, const task_ref& ref);
/// \return true if the task must not start yet, as its last runs were short.
bool awaits_restart(const context& c, const task_ref& ref);

} // namespace cuminmoor::central
