/// \file
/// The operating system's monotonic clock.
#pragma once

#include <ctime>

#include "cuminmoor/clock.h"

namespace cuminmoor::io {

/// \return the time of a POSIX clock in milliseconds.
inline std::int64_t read_clock(clockid_t clock)
{
    timespec t{};
    clock_gettime(clock, &t);
    constexpr std::int64_t ms_per_second{1'000};
    constexpr std::int64_t ns_per_ms{1'000'000};
    return std::int64_t{t.tv_sec} * ms_per_second + t.tv_nsec / ns_per_ms;
}

/// CLOCK_BOOTTIME: goes on while the machine is suspended, so that a lease does not seem younger
/// after a pause. May be read by any thread.
class system_clock final : public clock_source {
public:
    instant now() override { return {read_clock(CLOCK_BOOTTIME)}; }
};

/// \return the time of day since the epoch. Async-signal-safe.
inline millis wall_time()
{
    return {read_clock(CLOCK_REALTIME)};
}

} // namespace cuminmoor::io
