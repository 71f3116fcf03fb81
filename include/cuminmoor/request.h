/// \file
/// Events and effects of the request path: request arrival, dispatch and answer.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "cuminmoor/clock.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/result.h"

namespace cuminmoor {

/// Opaque request or response body; shared and immutable.
using body_text = std::shared_ptr<const std::string>;

/// Event: a caller's request was received completely.
struct request_arrived {
    traffic_handle handle;
    caller_id caller;
    service_id service;
    request_id id;
    bool idempotent{false};
    /// Measured on this process's clock.
    instant deadline;
    /// Number of times the request was forwarded between entry VMs.
    std::uint32_t hops{0};
    body_text body;
};

/// Event: the caller disconnected before it received an answer.
struct request_abandoned {
    traffic_handle handle;
};

/// Effect: send the request to a runner, or to an entry VM of another failure domain. Produces
/// exactly one `dispatch_ended`; its outcome is `not_sent` if the effect expires before execution.
struct request_dispatch {
    traffic_handle handle;
    dispatch_handle dispatch;
    vm_id to;
    bool to_entry_vm{false};
    instant deadline;
    caller_id caller;
    service_id service;
    request_id id;
    bool idempotent{false};
    std::uint32_t hops{0};
    body_text body;
};

/// Effect: abandon a dispatch. Its connection is closed rather than reused, and a later
/// `dispatch_ended` for it is ignored.
struct request_drop_dispatch {
    dispatch_handle dispatch;
};

/// Outcome of a dispatch.
enum class dispatch_outcome : std::uint8_t {
    /// A complete answer that names this request was received.
    answered,
    /// The backend server reported that it did not run the request. From an entry VM: any code for
    /// which `is_certainly_not_run` holds.
    refused,
    /// No byte of the request was sent.
    not_sent,
    /// The request was sent but no complete answer was received, so it may have run. From an entry
    /// VM, also every code that is neither `ok` nor certainly not run.
    lost,
};

/// Event: a dispatch ended.
struct dispatch_ended {
    traffic_handle handle;
    dispatch_handle dispatch;
    dispatch_outcome outcome{dispatch_outcome::lost};
    int status{0};
    body_text body;
};

/// Effect: answer the caller. Emitted exactly once per `request_arrived` that was not abandoned.
struct request_answer {
    traffic_handle handle;
    result_code code{result_code::ok};
    /// For `ok`: the backend server's HTTP status and body.
    int status{200};
    body_text body;
    std::string message;
};

} // namespace cuminmoor
