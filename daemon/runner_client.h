/// \file
/// Runners, and entry VMs that a request spills to, as the daemon uses them.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cuminmoor/request.h"
#include "event_sink.h"
#include "http_client.h"
#include "open_calls.h"

namespace cuminmoor::io {

class runner_client {
public:
    runner_client() = default;
    runner_client(const runner_client&) = delete;
    runner_client& operator=(const runner_client&) = delete;
    runner_client(runner_client&&) = delete;
    runner_client& operator=(runner_client&&) = delete;
    virtual ~runner_client() = default;

    /// Answered by one `dispatch_ended`, unless it is dropped first. Nothing is sent after
    /// `not_after`. \param address "a.b.c.d:port" of the backend server.
    virtual void dispatch(const request_dispatch& what, const std::string& address,
                          instant not_after) = 0;
    /// Closes the connection of a dispatch; its end may still come when it is already under way.
    virtual void drop(dispatch_handle dispatch) = 0;
};

/// Told how long a dispatch took; called on the client's thread before its event is posted.
using dispatch_observer =
    std::function<void(const dispatch_ended& end, measuring_clock::duration time)>;

/// Runners over HTTP. All references must outlive the client.
std::unique_ptr<runner_client> make_http_runner_client(http_client& http, event_sink& sink,
                                                       dispatch_observer observer);

} // namespace cuminmoor::io
