/// \file
/// Reads the fields of one JSON object with checks of presence, type and range.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "nlohmann/json.hpp"

namespace cuminmoor {

/// Parses text without throwing.
/// \return the value, or an error that begins with `where`.
absl::StatusOr<nlohmann::json> parse_json(const std::string& text, const std::string& where);

/// Serializes without throwing; bytes that are not UTF-8 are replaced.
std::string dump_json(const nlohmann::json& value);

/// Inclusive bounds of a number.
struct number_range {
    std::int64_t low{0};
    std::int64_t high{INT64_MAX};
};

/// Largest length of a name, in bytes.
inline constexpr std::size_t max_name_bytes = 128;

/// \return true for at most `max_name_bytes` printable characters without '/' and space.
bool is_name_or_empty(const std::string& text);

/// Reads fields one by one; the first fault is kept and later reads do nothing.
///
///     json_reader r{value, "job"};
///     r.name("id", spec.id.value);
///     r.optional_number("tasks", spec.tasks, {1, 10'000});
///     if (auto fault = r.finish(); !fault.ok()) { return fault; }
class json_reader {
public:
    /// \param value must outlive the reader; anything but an object is a fault.
    /// \param where names the object in errors, e.g. "job".
    json_reader(const nlohmann::json& value, std::string where);

    /// Required name: 1 to `max_name_bytes` printable characters without '/' or space.
    void name(const char* field, std::string& out);
    /// The same, but it may be absent or empty.
    void optional_name(const char* field, std::string& out);
    /// Any text of at most `max_bytes` bytes.
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

    /// \return the required field, or null after a fault.
    const nlohmann::json* required(const char* field);
    /// \return the field, or null when it is absent or after a fault.
    const nlohmann::json* find(const char* field);
    /// Keeps `fault`, unless one was found before.
    void fail(absl::Status fault);

    /// \return the first fault, or an error that names a field nobody asked for.
    absl::Status finish();
    /// \return the first fault; unknown fields are allowed (data from newer versions).
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
