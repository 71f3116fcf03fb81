/// \file
/// Keeping this entry VM's configuration current; used by the commands that change it.
#pragma once

#include <vector>

#include "context.h"
#include "cuminmoor/configuration.h"

namespace cuminmoor {

/// Takes over a committed step.
/// \param head_row version of `config/head` after the step; 0 when the step came from a peer.
/// \return false when it is not the next step.
bool adopt_change(context& c, const versioned_change& change, row_version head_row_version);

/// Reads the head again at the next tick instead of at the end of the poll period.
void request_configuration_poll(context& c);

/// Sends `steps` to every other live entry VM.
void relay_changes(context& c, const std::vector<versioned_change>& changes);

/// Sends a lagging peer the steps that it lacks, when they are still in memory.
void relay_to_lagging_peer(context& c, const vm_id& peer, config_version peer_version);

} // namespace cuminmoor
