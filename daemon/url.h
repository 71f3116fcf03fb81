/// \file
/// Percent-encoding of parts of a request's target.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cuminmoor::io {

/// Escapes everything but unreserved characters and slashes, for a path or a field of a query.
std::string escape_path(std::string_view text);

/// \return nothing when a percent sign is not followed by two hexadecimal digits.
std::optional<std::string> unescape_path(std::string_view text);

} // namespace cuminmoor::io
