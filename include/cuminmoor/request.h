/// \file
/// Requests of callers: what arrives, where it is sent, what comes back.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "cuminmoor/clock.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/result.h"

namespace cuminmoor {

/// Bytes that are passed on and not read; shared, never changed.
using body_text = std::shared_ptr<const std::string>;

/// Event: a caller's request has been read whole.
struct request_arrived {
    traffic_handle handle;
    caller_id caller;
    service_id service;
    request_id id;
    bool idempotent{false};
    /// On this process's clock.
    instant deadline;
    /// Times that it was already passed on between entry VMs.
    std::uint32_t hops{0};
    body_text body;
};

/// Event: the caller went away before its answer.
struct request_abandoned {
    traffic_handle handle;
};

/// Effect: send the request to a runner, or to an entry VM of another failure domain. Answered by
/// one `dispatch_ended`; when it is dropped because its time is over, with `not_sent`.
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

/// Effect: give up waiting for a dispatch; its connection is closed, never used again. A
/// `dispatch_ended` that still comes for it is ignored.
struct request_drop_dispatch {
    dispatch_handle dispatch;
};

/// What became of a dispatch.
enum class dispatch_outcome : std::uint8_t {
    /// The whole answer is here and names this request.
    answered,
    /// The backend server said that it did not run it; from an entry VM, any code for which
    /// `is_certainly_not_run` holds.
    refused,
    /// No byte of it was sent.
    not_sent,
    /// Sent, and no whole answer came: it may have run. From an entry VM also every code that is
    /// neither `ok` nor certainly not run.
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

/// Effect: answer the caller. Exactly one per `request_arrived` that was not abandoned.
struct request_answer {
    traffic_handle handle;
    result_code code{result_code::ok};
    /// For `ok`: the backend server's HTTP status and body.
    int status{200};
    body_text body;
    std::string message;
};

} // namespace cuminmoor
