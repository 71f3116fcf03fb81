/// \file
/// Parsing, serialization and checked field access of JSON objects.
#include "cuminmoor/json_reader.h"

#include <algorithm>

#include "cuminmoor/status.h"

namespace cuminmoor {

namespace {

using nlohmann::json;

bool is_name_character(unsigned char ch)
{
    return ch > ' ' && ch < 0x7f && ch != '/';
}

} // namespace

bool is_name_or_empty(const std::string& text)
{
    return text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

absl::StatusOr<json> parse_json(const std::string& text, const std::string& where)
{
    json value = json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return malformed_error(where + ": not valid JSON");
    }
    return value;
}

std::string dump_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json_reader::json_reader(const json& value, std::string where)
    : value_{value}, where_{std::move(where)}
{
    if (!value_.is_object()) {
        fail(malformed_error(where_ + ": not a JSON object"));
    }
}

void json_reader::fail(absl::Status fault)
{
    if (fault_.ok()) {
        fault_ = std::move(fault);
    }
}

const json* json_reader::find(const char* field)
{
    asked_.insert(field);
    if (!fault_.ok()) {
        return nullptr;
    }
    const auto found = value_.find(field);
    return found == value_.end() ? nullptr : &*found;
}

const json* json_reader::required(const char* field)
{
    const json* const found = find(field);
    if (found == nullptr) {
        fail(missing_field_error(where_ + ": field '" + field + "' is missing"));
    }
    return found;
}

void json_reader::name(const char* field, std::string& out)
{
    if (required(field) == nullptr) {
        return;
    }
    optional_name(field, out);
    if (fault_.ok() && out.empty()) {
        fail(out_of_range_error(where_ + ": field '" + field + "' must not be empty"));
    }
}

void json_reader::optional_name(const char* field, std::string& out)
{
    optional_text(field, out, max_name_bytes);
    if (fault_.ok() && !is_name_or_empty(out)) {
        fail(out_of_range_error(where_ + ": field '" + field +
                                "' must contain only printable characters, except space and '/'"));
    }
}

void json_reader::optional_text(const char* field, std::string& out, std::size_t max_bytes)
{
    const json* const found = find(field);
    if (found == nullptr) {
        return;
    }
    if (!found->is_string()) {
        fail(malformed_error(where_ + ": field '" + field + "' must be a string"));
        return;
    }
    out = found->get<std::string>();
    if (out.size() > max_bytes) {
        fail(out_of_range_error(where_ + ": field '" + field + "' has " +
                                std::to_string(out.size()) + " bytes, at most " +
                                std::to_string(max_bytes) + " are allowed"));
    }
}

void json_reader::optional_flag(const char* field, bool& out)
{
    const json* const found = find(field);
    if (found == nullptr) {
        return;
    }
    if (!found->is_boolean()) {
        fail(malformed_error(where_ + ": field '" + field + "' must be true or false"));
        return;
    }
    out = found->get<bool>();
}

absl::StatusOr<std::int64_t> json_reader::checked_number(const char* field, const json& value,
                                                         number_range range) const
{
    if (!value.is_number_integer()) {
        return malformed_error(where_ + ": field '" + field + "' must be a whole number");
    }
    const bool too_large = value.is_number_unsigned() &&
                           value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    const std::int64_t number = too_large ? INT64_MAX : value.get<std::int64_t>();
    if (too_large || number < range.low || number > range.high) {
        return out_of_range_error(where_ + ": field '" + field + "' is " + value.dump() +
                                  ", allowed are " + std::to_string(range.low) + " to " +
                                  std::to_string(range.high));
    }
    return number;
}

absl::Status json_reader::finish()
{
    if (!fault_.ok()) {
        return fault_;
    }
    for (const auto& item : value_.items()) {
        if (!asked_.contains(item.key())) {
            return unknown_field_error(where_ + ": field '" + item.key() + "' is not known");
        }
    }
    return absl::OkStatus();
}

} // namespace cuminmoor
