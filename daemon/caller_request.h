/// \file
/// Callers' requests as they arrive over HTTP.
#pragma once

#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "cuminmoor/request.h"
#include "http_message.h"

namespace cuminmoor::io {

/// \return the service of a path "/v1/services/SERVICE/requests", still escaped.
std::optional<std::string> match_request_path(const std::string& path);

/// Reads headers and body; the handle is left empty.
/// \param service as `match_request_path` gave it.
/// \param now the time from which the caller's deadline is counted.
absl::StatusOr<request_arrived> parse_caller_request(const http_request& r,
                                                     const std::string& service, instant now);

} // namespace cuminmoor::io
