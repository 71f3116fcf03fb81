/// \file
/// A small HTTP server and client over blocking sockets, for stand-ins on loopback addresses.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

inline constexpr const char* loopback{"127.0.0.1"};

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    bool is_malformed{false};
};

struct http_response {
    /// 0: the client got no whole answer.
    int status{0};
    std::string body;
};

/// Serves each connection in a thread of its own.
class http_server {
public:
    using handler = std::function<http_response(const http_request&)>;

    explicit http_server(handler handle) : handle_{std::move(handle)} {}
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Listens on a loopback port; 0: a free one. The port stays the same after a restart.
    void start(std::uint16_t port);
    /// Resets all connections; handlers that wait must have been woken before.
    void stop();
    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::string address() const;

private:
    void accept_connections(int listener);
    void serve(int connection);

    handler handle_;
    std::uint16_t port_{0};
    int listener_{-1};
    std::thread acceptor_;
    std::mutex mutex_;
    bool is_stopping_{false};
    std::set<int> connections_;
    std::vector<std::thread> threads_;
};

struct http_call {
    std::string method{"GET"};
    std::string address;
    std::string path;
    std::string host;
    std::string body;
    int timeout_ms{3'000};
};

/// Sends a request over a new connection and waits for the answer.
http_response send_call(const http_call& call);

/// \return a loopback port on which nothing listens.
std::uint16_t free_port();

} // namespace review
