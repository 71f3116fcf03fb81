/// \file
/// Documents of the platform's HTTP interface.
#pragma once

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "cuminmoor/membership.h"
#include "cuminmoor/store.h"

namespace cuminmoor::io {

std::string encode_commit(const transaction& t);
std::string encode_read(const store_read& r);
absl::StatusOr<row_version> decode_commit_answer(const std::string& text);
absl::StatusOr<std::vector<row>> decode_rows(const std::string& text);
absl::StatusOr<std::vector<vm_entry>> decode_vm_list(const std::string& text);

} // namespace cuminmoor::io
