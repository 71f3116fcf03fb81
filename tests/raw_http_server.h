/// \file
/// A server on a plain socket that answers each request with given bytes, whole or broken.
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace test {

/// What the server does with one request.
struct reaction {
    std::string bytes;
    bool closes{false};
};

/// \return a whole answer with a length.
inline reaction whole(const std::string& body, const std::string& headers = "")
{
    return {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers +
            "\r\n" + body};
}

/// Decides what a server does with a request, given its head. Called once at a time.
struct responder {
    explicit responder(std::function<reaction(const std::string& head)> f) : react{std::move(f)} {}

    std::function<reaction(const std::string& head)> react;
};

/// Reacts to each request; a reaction without bytes leaves the caller without an answer.
class raw_http_server {
public:
    /// Takes reactions in order, one for each request; without one it keeps the connection open.
    explicit raw_http_server(std::deque<reaction> reactions)
        : raw_http_server{
              responder{[reactions = std::move(reactions)](const std::string& /*head*/) mutable {
                  if (reactions.empty()) {
                      return reaction{};
                  }
                  reaction next = reactions.front();
                  reactions.pop_front();
                  return next;
              }}}
    {
    }
    explicit raw_http_server(responder r) : responder_{std::move(r)}
    {
        thread_ = std::thread{[this] { accept(); }};
    }
    ~raw_http_server()
    {
        stopping_ = true;
        asio::error_code error;
        asio::ip::tcp::socket wake{context_};
        wake.connect(acceptor_.local_endpoint(), error);
        thread_.join();
        for (auto& socket : sockets_) {
            socket->shutdown(asio::ip::tcp::socket::shutdown_both, error);
        }
        for (auto& t : connections_) {
            t.join();
        }
    }
    raw_http_server(const raw_http_server&) = delete;
    raw_http_server& operator=(const raw_http_server&) = delete;
    raw_http_server(raw_http_server&&) = delete;
    raw_http_server& operator=(raw_http_server&&) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    [[nodiscard]] int requests() const { return requests_; }
    [[nodiscard]] int accepted() const { return accepted_; }
    [[nodiscard]] int closed_by_client() const { return closed_by_client_; }

private:
    using socket_pointer = std::shared_ptr<asio::ip::tcp::socket>;

    void accept()
    {
        for (;;) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(context_);
            asio::error_code error;
            acceptor_.accept(*socket, error);
            if (stopping_) {
                return;
            }
            ++accepted_;
            sockets_.push_back(socket);
            connections_.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(asio::ip::tcp::socket& socket)
    {
        std::string buffer;
        std::string head;
        asio::error_code error;
        while (read_request(socket, buffer, head)) {
            ++requests_;
            const reaction next = react_to(head);
            asio::write(socket, asio::buffer(next.bytes), error);
            if (next.closes) {
                socket.shutdown(asio::ip::tcp::socket::shutdown_both, error);
                socket.close(error);
                return;
            }
        }
        ++closed_by_client_;
    }

    static bool read_request(asio::ip::tcp::socket& socket, std::string& buffer, std::string& head)
    {
        asio::error_code error;
        const std::size_t head_bytes =
            asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
        if (error) {
            return false;
        }
        head = buffer.substr(0, head_bytes);
        const auto field = head.find("Content-Length: ");
        const std::size_t body =
            field != std::string::npos
                ? std::stoul(head.substr(field + sizeof("Content-Length: ") - 1))
                : 0;
        if (buffer.size() < head_bytes + body) {
            asio::read(socket, asio::dynamic_buffer(buffer),
                       asio::transfer_exactly(head_bytes + body - buffer.size()), error);
        }
        buffer.erase(0, head_bytes + body);
        return !error;
    }

    reaction react_to(const std::string& head)
    {
        const std::lock_guard lock{mutex_};
        return responder_.react(head);
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
    std::mutex mutex_;
    responder responder_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> requests_{0};
    std::atomic<int> accepted_{0};
    std::atomic<int> closed_by_client_{0};
    /// Changed by the accepting thread only, read after it has ended.
    std::vector<socket_pointer> sockets_;
    std::vector<std::thread> connections_;
    std::thread thread_;
};

} // namespace test
