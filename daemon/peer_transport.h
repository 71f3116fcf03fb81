/// \file
/// Datagrams between entry VMs.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "cuminmoor/membership.h"
#include "event_sink.h"

namespace cuminmoor::io {

/// Counts since the start.
struct peer_transport_counts {
    std::uint64_t sent{0};
    std::uint64_t received{0};
    /// Datagrams that could not be decoded.
    std::uint64_t malformed{0};
    /// Messages that did not fit, had no valid address or were refused by the system.
    std::uint64_t not_sent{0};
};

class peer_transport {
public:
    peer_transport() = default;
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    peer_transport(peer_transport&&) = delete;
    peer_transport& operator=(peer_transport&&) = delete;
    virtual ~peer_transport() = default;

    /// Sends one datagram, at most once and without waiting. \param address "a.b.c.d:port".
    virtual void send(const peer_message& message, const std::string& address) = 0;
    [[nodiscard]] virtual peer_transport_counts counts() const = 0;
    [[nodiscard]] virtual std::uint16_t port() const = 0;
};

/// UDP with cereal. Posts `peer_received` from a thread of its own.
/// \param sink must outlive the transport.
/// \return an error that names the address when it cannot be bound.
absl::StatusOr<std::unique_ptr<peer_transport>>
start_udp_peer_transport(const std::string& ip, std::uint16_t port, event_sink& sink);

} // namespace cuminmoor::io
