/// \file
/// Table of requests and commands that wait for the core's answer.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cuminmoor/ids.h"
#include "http_message.h"

namespace cuminmoor::io {

/// Clock for latency measurements; finer than `clock_source`, whose time the core decides by.
using measuring_clock = std::chrono::steady_clock;

enum class open_call_kind : std::uint8_t { request, command };

/// A request or command without an answer.
struct open_call {
    open_call_kind kind{open_call_kind::request};
    http_responder respond;
    connection_number connection{0};
    /// Returned in the response; empty for commands.
    std::string request_id;
    /// Value of X-Caller, if sent; for the log.
    std::string caller;
    /// Method and path; for the log.
    std::string target;
    measuring_clock::time_point arrived_at;
    /// Total time that its dispatches spent at backend servers.
    measuring_clock::duration backend_time{0};
};

/// Open calls by handle. Thread-safe.
class open_calls {
public:
    traffic_handle add(open_call call);
    /// Adds the duration of one dispatch to the call's `backend_time`, if the call is still open.
    void add_backend_time(traffic_handle handle, measuring_clock::duration time);
    /// Removes a call so that it can be answered.
    /// \return nothing when its connection was closed.
    std::optional<open_call> take(traffic_handle handle);
    /// Removes the calls of a closed connection.
    /// \return the handles of its requests, without those of commands.
    std::vector<traffic_handle> close_connection(connection_number connection);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::vector<traffic_handle> handles() const;

private:
    mutable std::mutex mutex_;
    std::uint64_t last_handle_{0};
    std::map<traffic_handle, open_call> calls_;
    /// Handles in `calls_` by connection; holds no empty sets.
    std::map<connection_number, std::set<traffic_handle>> by_connection_;
};

} // namespace cuminmoor::io
