/// \file
/// Adaptive page size for reads of a table, so that a page arrives before its timeout over any
/// link.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "cuminmoor/central/config.h"

namespace cuminmoor::central {

/// Number of rows per page. Grows while larger pages increase the throughput, so that a store with
/// a high latency needs few pages, and stops growing once the link's bandwidth is the limit.
/// Shrinks after a timeout.
class page_size {
public:
    page_size() = default;
    explicit page_size(std::uint32_t first_rows) : rows_{first_rows} {}

    [[nodiscard]] std::uint32_t rows() const { return rows_; }

    /// Call for each page that arrived, except the last of a table.
    void on_page_received(std::size_t rows, millis took);
    /// Call when a page did not arrive before its timeout.
    void on_page_timeout();

private:
    /// From `config::min_page_rows` to `config::max_page_rows`.
    std::uint32_t rows_{config::initial_page_rows};
    /// Throughput of the last page; 0: none arrived yet.
    double rows_per_ms_{0};
};

/// \return the start of the page after `key`. It is greater than `key` and less than or equal to
/// every longer key that starts with it, because keys contain no spaces.
std::string first_key_after(const std::string& key);

} // namespace cuminmoor::central
