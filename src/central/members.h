/// \file
/// Entry VMs of the deployment: what each can carry, and which are alive.
#pragma once

#include "parts.h"

namespace cuminmoor::central {

/// \return true unless another VM can carry clearly more than this one.
bool has_sufficient_capacity(const central_state& s);
/// \return true when an able VM passed on a call lately.
bool has_larger_live_peer(const context& c);
/// A VM has passed on a call.
void record_peer_contact(const context& c, const vm_id& vm);
/// One row of the control table; others than capacities are ignored.
void on_capacity_row(const context& c, const table_row& row);
void on_capacity_committed(const context& c, const rows_committed& e);
/// Stores what this VM can carry, unless the store has it.
void check_members(const context& c);

} // namespace cuminmoor::central
