/// \file
/// Commands of operators and job owners as they arrive over HTTP.
#pragma once

#include <cstdint>
#include <optional>

#include "absl/status/statusor.h"
#include "cuminmoor/command.h"
#include "http_message.h"

namespace cuminmoor::io {

/// Reads a command. \param wall_clock_s seconds since the epoch, kept with submitted jobs.
/// \return nothing when no command has this method and path; an error with the field and the fix
/// when the command is not as it must be.
std::optional<absl::StatusOr<command>> parse_command(const http_request& r,
                                                     std::int64_t wall_clock_s);

} // namespace cuminmoor::io
