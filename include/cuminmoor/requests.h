/// \file
/// State of the request path of one entry VM: the queue, the runners' slots, the claims.
#pragma once

#include <cstdint>
#include <map>

#include "cuminmoor/ids.h"
#include "cuminmoor/request.h"

namespace cuminmoor {

/// A request between its arrival and its answer.
struct open_request {
    request_arrived arrived;
    /// The dispatch that is under way; 0: it waits.
    dispatch_handle dispatch;
    vm_id sent_to;
    std::uint32_t tries{0};
};

struct request_state {
    std::map<traffic_handle, open_request> open;
    std::map<vm_id, std::int64_t> in_flight;
    std::uint64_t next_dispatch{1};
};

} // namespace cuminmoor
