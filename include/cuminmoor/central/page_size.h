/// \file
/// How many rows to ask for in one page of a table, so that it comes in time over any link.
#pragma once

#include <cstdint>

#include "cuminmoor/central/config.h"

namespace cuminmoor::central {

/// Grows while larger pages bring more rows in the same time, so that a slow store costs few
/// pages, and stays where the link is the limit. Shrinks when a page did not come in time.
class page_size {
public:
    [[nodiscard]] std::uint32_t rows() const { return rows_; }

    /// A page that another one follows has come.
    void note_page(std::size_t rows, millis took);
    /// None came in time.
    void note_failure();

private:
    /// From `config::least_page_rows` to `config::max_page_rows`.
    std::uint32_t rows_{config::first_page_rows};
    /// Of the last page that came; 0: none did.
    double rows_per_ms_{0};
};

} // namespace cuminmoor::central
