/// \file
/// Parse errors as `absl::Status`. Each kind of error maps to one result code.
#pragma once

#include <string>

#include "absl/status/status.h"
#include "cuminmoor/result.h"

namespace cuminmoor {

absl::Status malformed_error(const std::string& message);
absl::Status unknown_field_error(const std::string& message);
absl::Status missing_field_error(const std::string& message);
absl::Status out_of_range_error(const std::string& message);
absl::Status unknown_preset_error(const std::string& message);

/// \return the result code of an error created by the functions above, `ok` for an ok status, and
/// `internal` for any other error.
result_code code_of(const absl::Status& status);

} // namespace cuminmoor
