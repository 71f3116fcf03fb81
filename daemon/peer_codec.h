/// \file
/// Datagrams between entry VMs as bytes.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "cuminmoor/membership.h"

namespace cuminmoor::io {

/// \return an error when the message does not fit into `max_datagram_bytes`.
absl::StatusOr<std::string> encode_datagram(const peer_message& message);

/// Accepts any bytes. \return an error unless the datagram is whole and of this version.
absl::StatusOr<peer_message> decode_datagram(std::string_view bytes);

} // namespace cuminmoor::io
