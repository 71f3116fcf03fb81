/// \file
/// Small HTTP/1.1 server of the review's stand-ins, on the event loop of its owner.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace review {

/// A request that was read whole.
struct http_request {
    std::string method;
    /// Path without the query.
    std::string path;
    /// Parameters of the query; values are not percent-decoded.
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    /// \return the parameter, or `otherwise` if it is absent.
    [[nodiscard]] std::string parameter(const std::string& name,
                                        const std::string& otherwise = "") const;
    /// \return the header, or an empty text. `name` is in lower case.
    [[nodiscard]] std::string header(const std::string& name) const;
};

/// Sends the response to one request; no effect once the connection is closed.
using reply_function = std::function<void(int status, const std::string& body)>;
using request_handler = std::function<void(const http_request&, reply_function)>;

class http_connection;

/// Listens on one loopback port. All functions and handlers run on the loop's thread.
class http_server {
public:
    http_server(asio::io_context& loop, std::uint16_t port, request_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Resets all connections and stops listening, as when the process is killed.
    void kill();
    /// Listens again after `kill`.
    void restart();
    /// While set, requests are read and never handled, and responses are not sent: nothing passes,
    /// and no connection is reset.
    void set_silent(bool silent) { is_silent_ = silent; }

    /// From now on nothing passes on the connections that are open now, and none is reset. New ones
    /// work.
    void silence_open_connections();

    [[nodiscard]] std::string address() const;

private:
    friend class http_connection;

    void listen();
    void accept();

    asio::io_context& loop_;
    std::uint16_t port_;
    request_handler handler_;
    asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<http_connection>> connections_;
    bool is_silent_{false};
};

/// \return a loopback port that is free now.
std::uint16_t free_port();

} // namespace review
