/// \file
/// Maps kinds of parse errors to status codes and result codes.
#include "cuminmoor/status.h"

namespace cuminmoor {

absl::Status malformed_error(const std::string& message)
{
    return absl::InvalidArgumentError(message);
}

absl::Status unknown_field_error(const std::string& message)
{
    return absl::UnimplementedError(message);
}

absl::Status missing_field_error(const std::string& message)
{
    return absl::FailedPreconditionError(message);
}

absl::Status out_of_range_error(const std::string& message)
{
    return absl::OutOfRangeError(message);
}

absl::Status unknown_preset_error(const std::string& message)
{
    return absl::NotFoundError(message);
}

result_code code_of(const absl::Status& status)
{
    switch (status.code()) {
    case absl::StatusCode::kOk:
        return result_code::ok;
    case absl::StatusCode::kInvalidArgument:
        return result_code::malformed;
    case absl::StatusCode::kUnimplemented:
        return result_code::unknown_field;
    case absl::StatusCode::kFailedPrecondition:
        return result_code::missing_field;
    case absl::StatusCode::kOutOfRange:
        return result_code::out_of_range;
    case absl::StatusCode::kNotFound:
        return result_code::unknown_preset;
    default:
        return result_code::internal;
    }
}

} // namespace cuminmoor
