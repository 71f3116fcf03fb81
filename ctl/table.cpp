/// \file
/// Widths and text of table cells.
#include "table.h"

#include <algorithm>

namespace cuminmoor::ctl {

namespace {

using table_line = std::vector<std::string>;

constexpr std::size_t gap = 2;

const nlohmann::json* find_field(const nlohmann::json& row, const std::string& field)
{
    const auto dot = field.find('.');
    const auto found = row.is_object() ? row.find(field.substr(0, dot)) : row.end();
    if (!row.is_object() || found == row.end()) {
        return nullptr;
    }
    return dot == std::string::npos ? &*found : find_field(*found, field.substr(dot + 1));
}

std::string as_text(const nlohmann::json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void print_line(std::ostream& out, const table_line& line, const std::vector<std::size_t>& widths)
{
    for (std::size_t i = 0; i < line.size(); ++i) {
        const bool last = i + 1 == line.size();
        out << line[i] << std::string(last ? 0 : widths[i] + gap - line[i].size(), ' ');
    }
    out << "\n";
}

} // namespace

std::string cell_text(const nlohmann::json& row, const std::string& field)
{
    const auto* const found = find_field(row, field);
    if (found == nullptr || found->is_null()) {
        return "-";
    }
    auto text = as_text(*found);
    return text.empty() ? "-" : text;
}

void print_table(std::ostream& out, const nlohmann::json& rows, const std::vector<column>& columns)
{
    std::vector<table_line> lines(1);
    for (const auto& each : columns) {
        lines.front().emplace_back(each.heading);
    }
    if (rows.is_array()) {
        for (const auto& row : rows) {
            auto& line = lines.emplace_back();
            for (const auto& each : columns) {
                line.push_back(cell_text(row, each.field));
            }
        }
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    for (const auto& line : lines) {
        print_line(out, line, widths);
    }
}

void print_fields(std::ostream& out, const nlohmann::json& object)
{
    std::size_t width = 0;
    for (const auto& [name, value] : object.items()) {
        width = std::max(width, name.size());
    }
    for (const auto& [name, value] : object.items()) {
        out << name << std::string(width + gap - name.size(), ' ') << as_text(value) << "\n";
    }
}

} // namespace cuminmoor::ctl
