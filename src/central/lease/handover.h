/// \file
/// What a holder of the lease tells its successor in each row of the lease, so that tasks need not
/// wait anew for the leases of runners that the successor cannot ask.
#pragma once

#include "central/parts.h"

namespace cuminmoor::central {

/// \return what the successor may not learn from the runners' reports.
/// \param released this holder grants no more leases.
handover make_handover(const context& c, bool released);
/// Starts nothing on the runners in a row that is about to be sent, and does not extend their
/// leases.
void begin_handover(const context& c, const lease_row& row);
/// Uses runners again that are not in the row that is now stored.
/// \param stored a row of this process.
void end_old_handovers(const context& c, const lease_row& stored);
/// \return true if runs may be started there and their leases extended: no row may be stored by
/// which the successor takes it that this holder did neither.
bool may_grant_leases(const context& c, const runner_record& r);
/// Called when a runner was lost or found: renews the lease soon if its row is outdated by that.
void update_handover(const context& c, const runner_record& r);
/// Renews the lease soon after the leases on a lost runner have expired: they count as expired only
/// once the lease was renewed after that.
void renew_after_expiry(const context& c, const runner_record& r);
/// Marks the runners that may have unreported runs. Called once, after the jobs and the used
/// runners were loaded.
void begin_recovery(const context& c);
/// Ends the recovery once all runs of earlier terms are known.
/// \param unread_reports see `tick`.
void end_recovery_if_complete(const context& c, const std::set<runner_id>& unread_reports);
/// Called for a run that a report lists: notes that its task can have no other run of an earlier
/// term, if the report was made after the holder before had certainly given its last order.
/// Until then that holder may learn of the run's end from a hold that it sent before, and start the
/// task or what depends on it elsewhere.
void reconcile(const context& c, const runner_record& r, const task_ref& ref);
/// \return true if an unreported run of an earlier term may still execute on some runner.
bool may_have_unreported_run(const context& c, const task_ref& ref);

} // namespace cuminmoor::central
