/// \file
/// HTTP server behind an interface, so that the library's heavy headers stay in one file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "absl/status/statusor.h"
#include "connection_budget.h"
#include "cuminmoor/clock.h"
#include "http_message.h"

namespace cuminmoor::io {

/// Takes what the server reads. Called on the server's threads, several at once.
class http_handler {
public:
    http_handler() = default;
    http_handler(const http_handler&) = delete;
    http_handler& operator=(const http_handler&) = delete;
    http_handler(http_handler&&) = delete;
    http_handler& operator=(http_handler&&) = delete;
    virtual ~http_handler() = default;

    /// Handles a request; `respond` may be kept and called later.
    virtual void on_request(http_request request, http_responder respond) = 0;
    /// The connection is closed: whoever waits on it has gone away.
    virtual void on_connection_closed(connection_number connection) = 0;
};

struct http_server_options {
    /// IPv4 or IPv6 number.
    std::string ip;
    /// 0: any free port.
    std::uint16_t port{0};
    std::size_t threads{1};
    /// The server runs on this loop, on its owner's thread; `threads` does not count and queries
    /// are not read. Null: on threads of its own.
    asio::io_context* context{nullptr};
    /// On its owner's loop: share of the budget that is used.
    listener at{listener::callers};
    /// Must outlive the server and what is kept of its responders; null: a budget of its own.
    connection_budget* budget{nullptr};
};

class http_server {
public:
    http_server() = default;
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    virtual ~http_server() = default;

    /// \return the port that the server listens on.
    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Waits until every answer given so far has been handed to the operating system.
    /// \return false when that took longer than `limit`.
    [[nodiscard]] virtual bool wait_until_flushed(millis limit) = 0;
    /// \return true when every answer given so far has been handed to the operating system.
    [[nodiscard]] virtual bool is_flushed() = 0;
    [[nodiscard]] virtual std::size_t open_connections() const = 0;
    /// Closes the port and all connections; no callback comes after its return.
    virtual void stop() = 0;
};

/// Starts a server.
/// \param handler must outlive the server.
/// \return an error that names the address when it cannot be bound.
absl::StatusOr<std::unique_ptr<http_server>> start_http_server(const http_server_options& options,
                                                               http_handler& handler);

} // namespace cuminmoor::io
