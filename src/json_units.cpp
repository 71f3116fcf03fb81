/// \file
/// JSON representation of resources, and parsing of task ids.
#include "cuminmoor/json_units.h"

#include <charconv>

#include "cuminmoor/json_reader.h"
#include "cuminmoor/status.h"

namespace cuminmoor {

namespace {

constexpr number_range milli_core_range{0, 100'000'000};
constexpr number_range memory_range{0, 1'000'000'000};
constexpr number_range accelerator_range{0, 100'000};

} // namespace

nlohmann::json resources_to_json(const resources& r)
{
    return {{"milli_cores", r.milli_cores},
            {"memory_mib", r.memory_mib},
            {"accelerators", r.accelerators}};
}

absl::StatusOr<resources> resources_from_json(const nlohmann::json& value, const std::string& where)
{
    resources r;
    json_reader reader{value, where};
    reader.optional_number("milli_cores", r.milli_cores, milli_core_range);
    reader.optional_number("memory_mib", r.memory_mib, memory_range);
    reader.optional_number("accelerators", r.accelerators, accelerator_range);
    if (auto fault = reader.finish(); !fault.ok()) {
        return fault;
    }
    return r;
}

absl::StatusOr<task_id> parse_task_id(const std::string& text)
{
    const auto slash = text.rfind('/');
    task_id id;
    if (slash == std::string::npos || slash == 0) {
        return malformed_error("task '" + text + "': must have the form JOB/INDEX");
    }
    id.job.value = text.substr(0, slash);
    const char* const begin = text.data() + slash + 1;
    const char* const end = text.data() + text.size();
    const auto read = std::from_chars(begin, end, id.index);
    if (read.ec != std::errc{} || read.ptr != end) {
        return malformed_error("task '" + text + "': the index must be a whole number");
    }
    return id;
}

} // namespace cuminmoor
