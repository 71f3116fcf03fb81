/// \file
/// Units of what a VM has and a task needs.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace cuminmoor {

/// Processors (thousandths of a core), memory (MiB) and accelerators (whole).
struct resources {
    std::int64_t milli_cores{0};
    std::int64_t memory_mib{0};
    std::int64_t accelerators{0};

    bool operator==(const resources&) const = default;

    resources& operator+=(const resources& r)
    {
        milli_cores += r.milli_cores;
        memory_mib += r.memory_mib;
        accelerators += r.accelerators;
        return *this;
    }
    resources& operator-=(const resources& r)
    {
        milli_cores -= r.milli_cores;
        memory_mib -= r.memory_mib;
        accelerators -= r.accelerators;
        return *this;
    }
    friend resources operator+(resources a, const resources& b) { return a += b; }
    friend resources operator-(resources a, const resources& b) { return a -= b; }

    /// \return true when every dimension fits into `room`.
    [[nodiscard]] bool fits(const resources& room) const
    {
        return milli_cores <= room.milli_cores && memory_mib <= room.memory_mib &&
               accelerators <= room.accelerators;
    }
};

} // namespace cuminmoor
