/// \file
/// Peer datagrams over UDP with Asio.
#include <array>
#include <atomic>
#include <thread>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include "address.h"
#include "io_limits.h"
#include "peer_codec.h"
#include "peer_transport.h"

namespace cuminmoor::io {

namespace {

using asio::ip::udp;

class udp_peer_transport final : public peer_transport {
public:
    explicit udp_peer_transport(event_sink& sink) : sink_{sink} {}

    ~udp_peer_transport() override
    {
        context_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }
    udp_peer_transport(const udp_peer_transport&) = delete;
    udp_peer_transport& operator=(const udp_peer_transport&) = delete;
    udp_peer_transport(udp_peer_transport&&) = delete;
    udp_peer_transport& operator=(udp_peer_transport&&) = delete;

    absl::Status start(const std::string& ip, std::uint16_t port)
    {
        asio::error_code error;
        const auto address = asio::ip::make_address(ip, error);
        const udp::endpoint endpoint{address, port};
        if (!error) {
            socket_.open(endpoint.protocol(), error);
        }
        if (!error) {
            socket_.bind(endpoint, error);
        }
        if (!error) {
            socket_.non_blocking(true, error);
        }
        if (error) {
            return absl::UnavailableError("cannot bind " + ip + ":" + std::to_string(port) +
                                          " for datagrams: " + error.message() +
                                          "; choose another --peer-address");
        }
        receive();
        thread_ = std::thread{[this] { context_.run(); }};
        return absl::OkStatus();
    }

    void send(const peer_message& message, const std::string& address) override
    {
        const auto to = parse_address(address);
        const auto bytes = encode_datagram(message);
        asio::error_code error;
        if (to.ok() && bytes.ok()) {
            const auto ip = asio::ip::make_address(to->ip, error);
            if (!error) {
                socket_.send_to(asio::buffer(*bytes), {ip, to->port}, 0, error);
            }
        }
        const bool sent = to.ok() && bytes.ok() && !error;
        ++(sent ? sent_ : not_sent_);
    }

    [[nodiscard]] peer_transport_counts counts() const override
    {
        return {sent_, received_, malformed_, not_sent_};
    }
    [[nodiscard]] std::uint16_t port() const override
    {
        asio::error_code error;
        return socket_.local_endpoint(error).port();
    }

private:
    void receive()
    {
        socket_.async_receive_from(asio::buffer(buffer_), sender_,
                                   [this](const asio::error_code& error, std::size_t size) {
                                       if (error != asio::error::operation_aborted) {
                                           take(error ? 0 : size, !error);
                                           receive();
                                       }
                                   });
    }

    void take(std::size_t size, bool ok)
    {
        if (!ok) {
            return; // an ICMP error of an earlier send
        }
        auto message = decode_datagram({buffer_.data(), size});
        if (!message.ok()) {
            ++malformed_;
            return;
        }
        ++received_;
        sink_.post(peer_received{*std::move(message)});
    }

    event_sink& sink_;
    asio::io_context context_{1};
    udp::socket socket_{context_};
    udp::endpoint sender_;
    /// One byte more than allowed, so that a longer datagram is noticed.
    std::array<char, max_datagram_bytes + 1> buffer_{};
    std::thread thread_;
    std::atomic<std::uint64_t> sent_{0};
    std::atomic<std::uint64_t> received_{0};
    std::atomic<std::uint64_t> malformed_{0};
    std::atomic<std::uint64_t> not_sent_{0};
};

} // namespace

absl::StatusOr<std::unique_ptr<peer_transport>>
start_udp_peer_transport(const std::string& ip, std::uint16_t port, event_sink& sink)
{
    auto transport = std::make_unique<udp_peer_transport>(sink);
    const absl::Status started = transport->start(ip, port);
    if (!started.ok()) {
        return started;
    }
    return transport;
}

} // namespace cuminmoor::io
