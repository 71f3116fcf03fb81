/// \file
/// Aligned tables from JSON rows.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cuminmoor::ctl {

struct column {
    /// Heading, in capitals by habit.
    const char* heading;
    /// Field of the row; "a.b" reaches into an object.
    const char* field;
};

/// \return the field as text; "-" when it is absent.
std::string cell_text(const nlohmann::json& row, const std::string& field);

/// Prints a heading and one line for each row. Nothing but the heading when `rows` is no array.
void print_table(std::ostream& out, const nlohmann::json& rows, const std::vector<column>& columns);

/// Prints an object's fields, one a line.
void print_fields(std::ostream& out, const nlohmann::json& object);

} // namespace cuminmoor::ctl
