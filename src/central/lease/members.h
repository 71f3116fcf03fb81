/// \file
/// Entry VMs of the deployment: their capacities, and which ones are alive.
#pragma once

#include "central/parts.h"

namespace cuminmoor::central {

/// \return true when this VM has at least `sufficient_capacity_percent` of the largest capacity, by
/// every measure.
bool has_sufficient_capacity(const central_state& s);
/// \return true when a VM with sufficient capacity has forwarded a call within
/// `peer_liveness_window`.
bool has_larger_live_peer(const context& c);
/// \return true when a VM with sufficient capacity has written its row since this VM won the lease,
/// so that it lives and reaches the store.
bool has_larger_vm_with_store(const context& c);
/// \return the other VMs with sufficient capacity that have forwarded a call or written their row
/// within `peer_liveness_window`.
std::vector<vm_id> larger_live_vms(const context& c);
/// \return the time by which this VM delays what several VMs do on the same occasion.
millis claim_jitter(const central_state& s);
/// Records that a VM has forwarded a call.
void record_peer_contact(const context& c, const vm_id& vm);
/// Handles a row of the control table; ignores rows that hold no capacity.
/// \param is_old true if it may have been written before this process started.
void on_capacity_row(const context& c, const table_row& row, bool is_old);
/// Lets this VM write its row soon if the new holder of the lease has insufficient capacity.
void on_new_holder(const context& c);
void on_capacity_committed(const context& c, const rows_committed& e);
/// Writes this VM's capacity to the store unless the store already has it; again and again while
/// this VM has sufficient capacity and the holder of the lease has not.
void check_members(const context& c);

} // namespace cuminmoor::central
