/// \file
/// Errors of parse functions as `absl::Status`, each kind tied to one result code.
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

/// \return the result code of an error made by the functions above; `ok` for an ok status,
/// `internal` for any other error.
result_code code_of(const absl::Status& status);

} // namespace cuminmoor
