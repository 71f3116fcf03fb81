/// \file
/// How many rows to ask for in one page of a table, so that it comes in time over any link.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "cuminmoor/central/config.h"

namespace cuminmoor::central {

/// Grows while larger pages bring more rows in the same time, so that a slow store costs few
/// pages, and stays where the link is the limit. Shrinks when a page did not come in time.
class page_size {
public:
    page_size() = default;
    explicit page_size(std::uint32_t first_rows) : rows_{first_rows} {}

    [[nodiscard]] std::uint32_t rows() const { return rows_; }

    /// A page that another one follows has come.
    void on_page_received(std::size_t rows, millis took);
    /// None came in time.
    void on_page_timeout();

private:
    /// From `config::least_page_rows` to `config::max_page_rows`.
    std::uint32_t rows_{config::initial_page_rows};
    /// Of the last page that came; 0: none did.
    double rows_per_ms_{0};
};

/// \return where the page after this key begins: above it, and below all longer keys that begin
/// with it, as keys hold no spaces.
std::string first_key_after(const std::string& key);

} // namespace cuminmoor::central
