/// \file
/// Shares and quotas of whoever shares the room: teams of the product's own interface, and
/// organisations under central scheduling.
#pragma once

#include <algorithm>
#include <cstdint>

#include "cuminmoor/units.h"

namespace cuminmoor {

/// \return the part's share of the whole; 0 if there is none of it.
inline double ratio(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

/// \return the largest share of the total that is used in any dimension.
inline double dominant_share(const resources& used, const resources& total)
{
    return std::max({ratio(used.milli_cores, total.milli_cores),
                     ratio(used.memory_mib, total.memory_mib),
                     ratio(used.accelerators, total.accelerators)});
}

/// \return true if no dimension exceeds the quota; 0 in the quota is no limit.
inline bool is_within_quota(const resources& used, const resources& quota)
{
    const auto is_within = [](std::int64_t part, std::int64_t most) {
        return most == 0 || part <= most;
    };
    return is_within(used.milli_cores, quota.milli_cores) &&
           is_within(used.memory_mib, quota.memory_mib) &&
           is_within(used.accelerators, quota.accelerators);
}

} // namespace cuminmoor
