/// \file
/// Transactions and reads of the stand-in's table.
#include "platform_table.h"

#include <algorithm>

namespace standin {

namespace {

constexpr std::int64_t default_range_limit = 1'000;

} // namespace

std::optional<std::string> platform_table::commit(const json& transaction)
{
    for (const auto& wanted : array_at(transaction, "preconditions")) {
        const auto key = text_at(wanted, "key");
        if (version_of(key) != static_cast<std::uint64_t>(number_at(wanted, "version"))) {
            ++counts_.conflicts;
            return key;
        }
    }
    ++revision_;
    ++counts_.commits;
    for (const auto& row : array_at(transaction, "writes")) {
        write(row);
    }
    return std::nullopt;
}

json platform_table::read(const json& question)
{
    ++counts_.reads;
    std::map<std::string, const stored_row*> found;
    for (const auto& key : array_at(question, "keys")) {
        const auto row = key.is_string() ? rows_.find(key.get<std::string>()) : rows_.end();
        if (row != rows_.end()) {
            found.emplace(row->first, &row->second);
        }
    }
    for (const auto& range : array_at(question, "ranges")) {
        add_range(range, found);
    }
    counts_.rows_read += found.size();
    auto rows = json::array();
    for (const auto& [key, row] : found) {
        rows.push_back({{"key", key}, {"value", row->value}, {"version", row->version}});
    }
    return rows;
}

std::uint64_t platform_table::version_of(const std::string& key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? 0 : found->second.version;
}

void platform_table::write(const json& row)
{
    ++counts_.rows_written;
    const auto key = text_at(row, "key");
    const auto value = row.find("value");
    if (value != row.end() && value->is_string()) {
        rows_[key] = {value->get<std::string>(), revision_};
    }
    else {
        rows_.erase(key);
    }
}

void platform_table::add_range(const json& range,
                               std::map<std::string, const stored_row*>& found) const
{
    const auto prefix = text_at(range, "prefix");
    const auto first = std::max(prefix, text_at(range, "from"));
    auto left = number_at(range, "limit", default_range_limit);
    for (auto row = rows_.lower_bound(first);
         left > 0 && row != rows_.end() && row->first.starts_with(prefix); ++row, --left) {
        found.emplace(row->first, &row->second);
    }
}

} // namespace standin
