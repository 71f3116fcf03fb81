/// \file
/// Reads the fields of a JSON object and checks their presence, type and range.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"

namespace cuminmoor {

/// Parses text without throwing.
/// \return the value, or an error whose message begins with `where`.
absl::StatusOr<nlohmann::json> parse_json(const std::string& text, const std::string& where);

/// Serializes without throwing; bytes that are not valid UTF-8 are replaced.
std::string dump_json(const nlohmann::json& value);

/// Inclusive bounds of a number.
struct number_range {
    std::int64_t low{0};
    std::int64_t high{INT64_MAX};
};

/// Maximum length of a name, in bytes.
inline constexpr std::size_t max_name_bytes = 128;

/// \return true if `text` has at most `max_name_bytes` printable characters, none of them '/' or
/// space. True for an empty text.
bool is_name_or_empty(const std::string& text);

/// Reads fields one by one. After the first error, further reads have no effect.
///
///     json_reader r{value, "job"};
///     r.name("id", spec.id.value);
///     r.optional_number("tasks", spec.tasks, {1, 10'000});
///     if (auto fault = r.finish(); !fault.ok()) { return fault; }
class json_reader {
public:
    /// \param value must outlive the reader; a value that is not an object is an error.
    /// \param where name of the object in error messages, e.g. "job".
    json_reader(const nlohmann::json& value, std::string where);

    /// Required name: 1 to `max_name_bytes` printable characters without '/' or space.
    void name(const char* field, std::string& out);
    /// Optional name, which may also be empty.
    void optional_name(const char* field, std::string& out);
    /// Optional text of at most `max_bytes` bytes.
    void optional_text(const char* field, std::string& out, std::size_t max_bytes);

    template <typename Number>
    void number(const char* field, Number& out, number_range range)
    {
        if (const auto* found = required(field)) {
            read_number(field, *found, out, range);
        }
    }
    template <typename Number>
    void optional_number(const char* field, Number& out, number_range range)
    {
        if (const auto* found = find(field)) {
            read_number(field, *found, out, range);
        }
    }
    void optional_flag(const char* field, bool& out);

    /// \return the required field, or null if it is absent or a read has failed.
    const nlohmann::json* required(const char* field);
    /// \return the field, or null if it is absent or an earlier read has failed.
    const nlohmann::json* find(const char* field);
    /// Records `fault`, unless there was an earlier error.
    void fail(absl::Status fault);

    /// \return the first error. If there was none, an error for the first field that was not read.
    absl::Status finish();
    /// \return the first error. Allows unknown fields, which newer versions may have written.
    [[nodiscard]] absl::Status finish_lenient() const { return fault_; }

private:
    template <typename Number>
    void read_number(const char* field, const nlohmann::json& value, Number& out,
                     number_range range)
    {
        if (const auto read = checked_number(field, value, range); read.ok()) {
            out = static_cast<Number>(*read);
        }
        else {
            fail(read.status());
        }
    }
    absl::StatusOr<std::int64_t> checked_number(const char* field, const nlohmann::json& value,
                                                number_range range) const;

    const nlohmann::json& value_;
    std::string where_;
    std::set<std::string> asked_;
    absl::Status fault_;
};

} // namespace cuminmoor
