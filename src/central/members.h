/// \file
/// Entry VMs of the deployment: their capacities, and which ones are alive.
#pragma once

#include "parts.h"

namespace cuminmoor::central {

/// \return true when this VM has at least `sufficient_capacity_percent` of the largest capacity, by
/// every measure.
bool has_sufficient_capacity(const central_state& s);
/// \return true when a VM with sufficient capacity has forwarded a call within
/// `peer_liveness_window`.
bool has_larger_live_peer(const context& c);
/// Records that a VM has forwarded a call.
void record_peer_contact(const context& c, const vm_id& vm);
/// Handles a row of the control table; ignores rows that hold no capacity.
void on_capacity_row(const context& c, const table_row& row);
void on_capacity_committed(const context& c, const rows_committed& e);
/// Writes this VM's capacity to the store unless the store already has it.
void check_members(const context& c);

} // namespace cuminmoor::central
