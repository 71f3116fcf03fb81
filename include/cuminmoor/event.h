/// \file
/// The event type: all inputs that the core handles.
#pragma once

#include <variant>

#include "cuminmoor/command.h"
#include "cuminmoor/membership.h"
#include "cuminmoor/request.h"
#include "cuminmoor/store.h"
#include "cuminmoor/worker.h"

namespace cuminmoor {

/// Event: `config::tick_period` has passed.
struct tick {};

/// Event: the process was asked to stop. It drains its work and releases its lease.
struct shutdown_requested {};

using event = std::variant<tick, shutdown_requested, store_committed, store_read_done, object_done,
                           vm_list_done, peer_received, worker_synced, request_arrived,
                           request_abandoned, dispatch_ended, command_arrived>;

} // namespace cuminmoor
