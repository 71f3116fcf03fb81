/// \file
/// Addresses in the form "ip:port".
#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"

namespace cuminmoor::io {

/// An IP number, never a name, and a port.
struct ip_address {
    std::string ip;
    std::uint16_t port{0};
};

/// Reads "a.b.c.d:port" or "[a:b::c]:port".
absl::StatusOr<ip_address> parse_address(const std::string& text);

/// \return the text that `parse_address` reads.
std::string to_string(const ip_address& address);

} // namespace cuminmoor::io
