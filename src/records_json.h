/// \file
/// JSON helpers shared by the encodings of log records, ledgers, jobs and inbox rows.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "cuminmoor/job.h"
#include "cuminmoor/json_reader.h"
#include "nlohmann/json.hpp"

namespace cuminmoor {

/// Range of an unsigned 32-bit number.
inline constexpr number_range u32_range{0, UINT32_MAX};
/// Maximum length, in bytes, of object keys and other texts that the scheduler does not interpret.
inline constexpr std::size_t max_text_bytes{1'024};
inline constexpr std::size_t max_command_bytes{16'384};

nlohmann::json job_to_json(const job_spec& spec);
absl::StatusOr<job_spec> job_from_json(const nlohmann::json& body);
/// Reads the optional field "kind".
void read_work_class(json_reader& r, work_class& out);
/// Reads a required field that holds resources.
void read_size(json_reader& r, const char* field, resources& out);

/// \return the name; empty for a value that is no enumerator.
const char* name_of(release_cause cause);
/// Reads a release cause from its name.
void read_cause(json_reader& r, const char* field, release_cause& out);

nlohmann::json moved_in_to_json(const task_moved_in& move);
absl::StatusOr<task_moved_in> moved_in_from_json(const nlohmann::json& body);
/// Reads the required field "spec".
void read_spec(json_reader& r, job_spec& out);

/// \return the array in a required field, or an empty one after an error.
const nlohmann::json& read_array(json_reader& r, const char* field);
/// Reads an array of names.
void read_names(json_reader& r, const char* field, std::set<std::string>& out);

/// Decodes a JSON object: calls `read` with a reader and a default value to fill in. Allows unknown
/// fields.
/// \return the value, or the reader's first error.
template <typename Value, typename Read>
absl::StatusOr<Value> read_all(const nlohmann::json& body, const char* where, Read read)
{
    json_reader r{body, where};
    Value value;
    read(r, value);
    if (auto fault = r.finish_lenient(); !fault.ok()) {
        return fault;
    }
    return value;
}

/// Parses text as JSON and decodes it with `read_all`.
template <typename Value, typename Read>
absl::StatusOr<Value> read_text(const std::string& text, const char* where, Read read)
{
    const auto body = parse_json(text, where);
    return body.ok() ? read_all<Value>(*body, where, read) : body.status();
}

} // namespace cuminmoor
