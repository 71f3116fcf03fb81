/// \file
/// JSON representations of types that several messages use.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/units.h"
#include "nlohmann/json.hpp"

namespace cuminmoor {

/// {"milli_cores":n,"memory_mib":n,"accelerators":n}; absent fields are 0.
nlohmann::json resources_to_json(const resources& r);
/// \param where name of the object in error messages.
absl::StatusOr<resources> resources_from_json(const nlohmann::json& value,
                                              const std::string& where);
/// Parses "job/index".
absl::StatusOr<task_id> parse_task_id(const std::string& text);

} // namespace cuminmoor
