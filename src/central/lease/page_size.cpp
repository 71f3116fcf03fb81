/// \file
/// Adapts the page size to the measured throughput.
#include "cuminmoor/central/page_size.h"

#include <algorithm>

namespace cuminmoor::central {

void page_size::on_page_received(std::size_t rows, millis took)
{
    const double time = static_cast<double>(std::max<std::int64_t>(took.count, 1));
    const double rate = static_cast<double>(rows) / time;
    const bool is_faster = rate >= rows_per_ms_ * config::min_page_speedup;
    rows_per_ms_ = rate;
    if (!is_faster && took > config::fast_page_time) {
        return;
    }
    const double growth = static_cast<double>(config::target_page_time.count) / time;
    const double wanted = rows_ * std::clamp(growth, 1.0, config::max_page_growth);
    rows_ =
        static_cast<std::uint32_t>(std::min(wanted, static_cast<double>(config::max_page_rows)));
}

void page_size::on_page_timeout()
{
    rows_ = std::max(rows_ / config::page_shrink_divisor, config::min_page_rows);
}

std::string next_page_start(const std::string& last)
{
    static_assert(config::min_page_rows > 1, "a page that repeats a row must have a further one");
    constexpr char lowest_in_ids{'\t'};
    return last.size() < max_key_bytes ? last + lowest_in_ids : last;
}

} // namespace cuminmoor::central
