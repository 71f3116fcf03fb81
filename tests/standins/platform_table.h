/// \file
/// The stand-in's table service: rows with versions, transactions with preconditions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "json_fields.h"

namespace standin {

/// Numbers of calls that the table has carried out.
struct table_counts {
    std::uint64_t commits{0};
    std::uint64_t conflicts{0};
    std::uint64_t rows_written{0};
    std::uint64_t reads{0};
    std::uint64_t rows_read{0};
};

class platform_table {
public:
    /// Applies a transaction whole or not at all.
    /// \return the key of the precondition that did not hold, if any.
    std::optional<std::string> commit(const json& transaction);

    /// \return the rows that the question names, in key order.
    json read(const json& question);

    /// Revision of the last transaction.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] const table_counts& counts() const { return counts_; }

private:
    struct stored_row {
        std::string value;
        std::uint64_t version{0};
    };

    [[nodiscard]] std::uint64_t version_of(const std::string& key) const;
    void write(const json& row);
    void add_range(const json& range, std::map<std::string, const stored_row*>& found) const;

    std::map<std::string, stored_row> rows_;
    std::uint64_t revision_{0};
    table_counts counts_;
};

} // namespace standin
