/// \file
/// Values that are longer than a row of the store, split over several rows.
///
/// The first part is stored under the value's key, each other part under the key, a separator and
/// its number. Job ids do not contain the separator, so the parts of a job are adjacent.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "cuminmoor/central/event.h"

namespace cuminmoor::central {

/// \return the number of rows that a value takes; at least 1.
std::size_t part_count(const std::string& value);
/// Adds the changes that write a value.
/// \param stored_parts rows that its previous value takes; those not needed any more are deleted.
void append_parts(std::vector<row_change>& changes, const table_key& key, const std::string& value,
                  std::size_t stored_parts);
/// Adds the changes that delete a value of this many rows.
void append_removal(std::vector<row_change>& changes, const table_key& key,
                    std::size_t stored_parts);

/// A value and the number of rows that it takes.
struct joined_value {
    std::string value;
    std::size_t parts{0};
};

/// Joins the rows of a table. A part without a first part is left out.
/// \param rows values by key.
std::map<std::string, joined_value> join_parts(const std::map<std::string, std::string>& rows);

} // namespace cuminmoor::central
