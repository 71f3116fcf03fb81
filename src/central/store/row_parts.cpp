/// \file
/// Splitting of values over rows, and joining of the rows.
#include "central/store/row_parts.h"

#include <algorithm>

#include "absl/strings/str_format.h"
#include "cuminmoor/central/config.h"

namespace cuminmoor::central {

namespace {

constexpr char separator{'/'};

table_key key_of_part(const table_key& key, std::size_t part)
{
    return part == 0
               ? key
               : table_key{key.table_id, absl::StrFormat("%s%c%03d", key.key, separator, part)};
}

} // namespace

std::size_t part_count(const std::string& value)
{
    return std::max<std::size_t>(1, (value.size() + config::max_row_bytes - 1) /
                                        config::max_row_bytes);
}

void append_parts(std::vector<row_change>& changes, const table_key& key, const std::string& value,
                  std::size_t stored_parts)
{
    const std::size_t count = part_count(value);
    for (std::size_t part{0}; part < count; ++part) {
        changes.push_back({key_of_part(key, part),
                           value.substr(part * config::max_row_bytes, config::max_row_bytes)});
    }
    for (std::size_t part{count}; part < stored_parts; ++part) {
        changes.push_back({key_of_part(key, part), std::nullopt});
    }
}

void append_removal(std::vector<row_change>& changes, const table_key& key,
                    std::size_t stored_parts)
{
    for (std::size_t part{0}; part < stored_parts; ++part) {
        changes.push_back({key_of_part(key, part), std::nullopt});
    }
}

std::map<std::string, joined_value> join_parts(const std::map<std::string, std::string>& rows)
{
    std::map<std::string, joined_value> joined;
    for (const auto& [key, value] : rows) {
        const std::size_t end = key.find(separator);
        if (end == std::string::npos) {
            joined[key] = {value, 1};
            continue;
        }
        const auto first = joined.find(key.substr(0, end));
        if (first != joined.end()) {
            first->second.value += value;
            ++first->second.parts;
        }
    }
    return joined;
}

} // namespace cuminmoor::central
