/// \file
/// Parsing of addresses.
#include "address.h"

#include <charconv>

#include <asio/ip/address.hpp>

namespace cuminmoor::io {

absl::StatusOr<ip_address> parse_address(const std::string& text)
{
    const auto fault = absl::InvalidArgumentError(
        "\"" + text + "\" is not IP:PORT, for example 127.0.0.1:7000 or [::1]:7000");
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return fault;
    }
    ip_address address;
    address.ip = text.substr(0, colon);
    if (address.ip.front() == '[' && address.ip.back() == ']') {
        address.ip = address.ip.substr(1, address.ip.size() - 2);
    }
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, address.port);
    asio::error_code ip_error;
    (void)asio::ip::make_address(address.ip, ip_error);
    if (error != std::errc{} || stop != end || ip_error) {
        return fault;
    }
    return address;
}

std::string to_string(const ip_address& address)
{
    const bool is_v6 = address.ip.find(':') != std::string::npos;
    return (is_v6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

} // namespace cuminmoor::io
