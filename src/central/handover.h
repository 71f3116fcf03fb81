/// \file
/// What a holder of the lease tells its successor when it releases the lease, so that tasks need
/// not wait for the leases of runners that the successor cannot ask.
#pragma once

#include "parts.h"

namespace cuminmoor::central {

/// \return what the successor may not learn from the runners' reports. From now on this holder
/// starts nothing on the runners in it and does not extend their leases.
handover make_handover(const context& c);
/// Marks the runners that may have unreported runs. Called once, after the jobs and the used
/// runners were loaded.
void begin_recovery(const context& c);
/// Ends the recovery once all runs of earlier terms are known.
void end_recovery_if_complete(const context& c);
/// \return true if an unreported run of an earlier term may still execute on some runner.
bool may_run_unreported(const context& c, const graph_task_id& id, const task_ref& ref);

} // namespace cuminmoor::central
