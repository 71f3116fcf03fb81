/// \file
/// Jobs as their owners submit them.
#pragma once

#include <nlohmann/json.hpp>

#include "absl/status/statusor.h"
#include "cuminmoor/job.h"

namespace cuminmoor::io {

/// Checks every field; the owner is not part of the document.
absl::StatusOr<job_spec> parse_job(const nlohmann::json& value);

} // namespace cuminmoor::io
