/// \file
/// Documents of the workers' HTTP interface.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "cuminmoor/worker.h"

namespace cuminmoor::io {

std::string encode_sync(const worker_sync& sync);
absl::StatusOr<worker_report> decode_report(const std::string& text);

} // namespace cuminmoor::io
