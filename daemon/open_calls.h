/// \file
/// Requests and commands that the traffic side holds open until the core answers them.
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

/// Clock of measurements; finer than the clock of decisions.
using measuring_clock = std::chrono::steady_clock;

enum class open_call_kind : std::uint8_t { request, command };

/// One of them.
struct open_call {
    open_call_kind kind{open_call_kind::request};
    http_responder respond;
    connection_number connection{0};
    /// Repeated in the answer; empty for commands.
    std::string request_id;
    /// Who sent it, as far as it said so; for the log.
    std::string caller;
    /// Method and path; for the log.
    std::string target;
    measuring_clock::time_point arrived_at;
    /// Sum of the times for which it was with a backend server.
    measuring_clock::duration backend_time{0};
};

/// All of them, by handle. May be used by any thread.
class open_calls {
public:
    traffic_handle add(open_call call);
    /// Adds to the time that a call was with a backend server.
    void add_backend_time(traffic_handle handle, measuring_clock::duration time);
    /// Takes a call out in order to answer it; nothing when its caller has gone.
    std::optional<open_call> take(traffic_handle handle);
    /// Forgets the calls of a connection. \return the handles of its requests, not of commands.
    std::vector<traffic_handle> close_connection(connection_number connection);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::vector<traffic_handle> handles() const;

private:
    mutable std::mutex mutex_;
    std::uint64_t last_handle_{0};
    std::map<traffic_handle, open_call> calls_;
    /// Handles in `calls_` by connection; no empty sets.
    std::map<connection_number, std::set<traffic_handle>> by_connection_;
};

} // namespace cuminmoor::io
