/// \file
/// Election of the scheduler.
#pragma once

#include <string>

#include "central/context.h"

namespace cuminmoor::central {

void on_control_changed(const context& c, const control_changed& e);
void on_store_reachable(const context& c, const store_reachable& e);
void on_lease_committed(const context& c, const rows_committed& e);
void on_head_read(const context& c, const rows_read_done& e);
void check_lease(const context& c);
/// Releases the lease with the next commit of its row.
void begin_release(const context& c);
/// Becomes a follower and discards the scheduler's state.
void step_down(const context& c, const std::string& reason);
/// \return true while this VM may send orders to runners: it holds the lease and renewed it
/// recently.
bool may_send_orders(const context& c);

} // namespace cuminmoor::central
