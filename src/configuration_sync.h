/// \file
/// Synchronization of this entry VM's configuration with the store and its peers.
#pragma once

#include <vector>

#include "context.h"
#include "cuminmoor/configuration.h"

namespace cuminmoor {

/// Applies a committed change.
/// \param head_row_version row version of `config/head` after the change; 0 if unknown, as for a
/// change from a peer.
/// \return false if it is not the next change.
bool adopt_change(context& c, const versioned_change& change, row_version head_row_version);

/// Schedules a read of the head row at the next tick instead of at the end of the poll period.
void request_configuration_poll(context& c);

/// Sends `changes` to all other entry VMs that are not gone.
void relay_changes(context& c, const std::vector<versioned_change>& changes);

/// Sends a lagging peer the changes that it lacks, if they are still in memory.
void relay_to_lagging_peer(context& c, const vm_id& peer, config_version peer_version);

} // namespace cuminmoor
