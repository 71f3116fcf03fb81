/// \file
/// Encoding of calls that entry VMs forward to each other, in cereal's portable binary format.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "cuminmoor/central/event.h"

namespace cuminmoor::central {

std::string encode_call(const job_call& call);
absl::StatusOr<job_call> decode_call(const std::string& text);
std::string encode_answer(const call_answer& answer);
absl::StatusOr<call_answer> decode_answer(const std::string& text);

} // namespace cuminmoor::central
