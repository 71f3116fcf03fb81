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

/// Most bytes of a key in the store.
inline constexpr std::size_t max_key_bytes{200};

/// \return the start of the page after one that ends with the key `last`. It is the least text
/// after `last` that may be the id of a runner, which holds no control characters but tabs. After a
/// key of full length, which no longer key begins with, it is that key, whose row is read again.
std::string next_page_start(const std::string& last);

} // namespace cuminmoor::central
