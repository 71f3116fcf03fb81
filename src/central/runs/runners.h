/// \file
/// Holds of runners and leases on runs.
#pragma once

#include <optional>
#include <set>

#include "central/context.h"

namespace cuminmoor::central {

void on_hold_ended(const context& c, const runner_hold_ended& e);
/// \param unread_reports see `tick`.
void check_runners(const context& c, const std::set<runner_id>& unread_reports);
void acknowledge_stored_ends(const context& c);
/// \return true if tasks that end may start again elsewhere although no report has shown how their
/// runs there ended. A runner that is still listed may be found again at any time with ends that
/// were not reported, so it is asked once more after its leases have expired.
bool is_given_up(const runner_record& r);
/// Extends the lease of all runs on the runner, counted from now.
/// \return the end of the lease on the runner's clock; empty until that clock is known.
std::optional<remote_instant> grant_lease(const context& c, runner_record& r);
/// \return the longest local time until a lease given now expires, assuming the slowest permitted
/// runner clock.
millis longest_lease(const central_state& s);
/// \return the same for a lease whose end is on the clock of an earlier incarnation: the runner
/// cuts it to the longest that it accepts.
millis longest_foreign_lease(const central_state& s);

} // namespace cuminmoor::central
