/// \file
/// Small HTTP server for the stand-ins: several listening addresses, one thread, timers, and
/// answers that can be cut short on purpose.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"

namespace standin {

/// A loopback address to listen on.
struct endpoint {
    std::string address;
    std::uint16_t port{0};
};

/// \return "address:port".
std::string to_string(const endpoint& at);

/// Reads "a.b.c.d:port"; the error names the text and the expected form.
absl::StatusOr<endpoint> parse_endpoint(const std::string& text);

/// \return the endpoint with the port moved up by `n`.
endpoint offset_by(const endpoint& first, std::uint16_t n);

/// A request that was read whole.
struct http_call {
    std::string method;
    std::string path;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    /// \return the header's value, or empty when it is absent. `name` is in lower case.
    [[nodiscard]] std::string header(const std::string& name) const;
};

struct http_reply {
    int status{200};
    std::string body;
    std::map<std::string, std::string> headers;
    /// Announce the whole body, send the first half and close the connection.
    bool truncated{false};
};

/// Sends the reply; may be called later, at most once.
using reply_sender = std::function<void(http_reply)>;

/// What happens to the connection when a handler returns.
enum class connection_fate : std::uint8_t {
    /// The reply was sent, or will be.
    answered,
    /// Close without a byte of an answer.
    dropped,
};

using http_handler = std::function<connection_fate(const http_call&, reply_sender)>;

/// Serves until SIGTERM or SIGINT. Handlers and timers run on the thread that calls `run`.
class http_host {
public:
    http_host();
    ~http_host();
    http_host(const http_host&) = delete;
    http_host& operator=(const http_host&) = delete;
    http_host(http_host&&) = delete;
    http_host& operator=(http_host&&) = delete;

    /// Listens from the start of `run` on.
    void listen(const endpoint& at, http_handler handler);

    /// Calls `action` once after `delay`, or at once when `delay` is not positive.
    void after(std::chrono::milliseconds delay, std::function<void()> action);

    /// Calls `action` when all addresses are bound.
    void when_ready(std::function<void()> action);

    /// \return 0 after a signal, 1 when an address could not be bound (named on standard error).
    int run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace standin
