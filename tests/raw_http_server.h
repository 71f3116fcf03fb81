/// \file
/// A server on a plain socket that answers each request with given bytes, whole or broken.
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
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

/// Takes reactions in order, one for each request; without one it keeps the connection open.
class raw_http_server {
public:
    explicit raw_http_server(std::deque<reaction> reactions) : reactions_{std::move(reactions)}
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
        asio::error_code error;
        while (read_request(socket, buffer)) {
            ++requests_;
            const reaction next = take();
            asio::write(socket, asio::buffer(next.bytes), error);
            if (next.closes) {
                socket.shutdown(asio::ip::tcp::socket::shutdown_both, error);
                socket.close(error);
                return;
            }
        }
        ++closed_by_client_;
    }

    static bool read_request(asio::ip::tcp::socket& socket, std::string& buffer)
    {
        asio::error_code error;
        const std::size_t head =
            asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
        if (error) {
            return false;
        }
        const auto field = buffer.find("Content-Length: ");
        const std::size_t body =
            field < head ? std::stoul(buffer.substr(field + sizeof("Content-Length: ") - 1)) : 0;
        if (buffer.size() < head + body) {
            asio::read(socket, asio::dynamic_buffer(buffer),
                       asio::transfer_exactly(head + body - buffer.size()), error);
        }
        buffer.erase(0, head + body);
        return !error;
    }

    reaction take()
    {
        const std::lock_guard lock{mutex_};
        if (reactions_.empty()) {
            return {};
        }
        reaction next = reactions_.front();
        reactions_.pop_front();
        return next;
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
    std::mutex mutex_;
    std::deque<reaction> reactions_;
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
