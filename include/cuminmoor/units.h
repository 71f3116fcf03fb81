/// \file
/// Resources that a VM provides and a task requires.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace cuminmoor {

/// CPU (thousandths of a core), memory (MiB) and accelerators (whole devices).
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

    /// \return true if no dimension exceeds that of `room`.
    [[nodiscard]] bool fits(const resources& room) const
    {
        return milli_cores <= room.milli_cores && memory_mib <= room.memory_mib &&
               accelerators <= room.accelerators;
    }
};

} // namespace cuminmoor
