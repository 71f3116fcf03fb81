/// \file
/// Time types in milliseconds, and the clock interface.
///
/// Readings of clocks of different machines must not be compared. A reading of a remote clock is
/// therefore a `remote_instant`; only durations can be added to it or subtracted from it.
#pragma once

#include <compare>
#include <cstdint>

namespace cuminmoor {

/// A duration in milliseconds.
struct millis {
    std::int64_t count{0};

    friend constexpr auto operator<=>(millis, millis) = default;
    friend constexpr millis operator+(millis a, millis b) { return {a.count + b.count}; }
    friend constexpr millis operator-(millis a, millis b) { return {a.count - b.count}; }
    friend constexpr millis operator*(millis a, std::int64_t n) { return {a.count * n}; }
    friend constexpr millis operator/(millis a, std::int64_t n) { return {a.count / n}; }
};

/// A reading of this process's monotonic clock.
struct instant {
    std::int64_t ms{0};

    friend constexpr auto operator<=>(instant, instant) = default;
    friend constexpr instant operator+(instant t, millis d) { return {t.ms + d.count}; }
    friend constexpr instant operator-(instant t, millis d) { return {t.ms - d.count}; }
    friend constexpr millis operator-(instant a, instant b) { return {a.ms - b.ms}; }
};

/// Later than any real instant; the expiry of an effect that does not expire.
inline constexpr instant never{INT64_MAX / 4};

/// A reading of another machine's monotonic clock, as reported by that machine.
struct remote_instant {
    std::int64_t ms{0};

    friend constexpr auto operator<=>(remote_instant, remote_instant) = default;
    friend constexpr remote_instant operator+(remote_instant t, millis d)
    {
        return {t.ms + d.count};
    }
    friend constexpr remote_instant operator-(remote_instant t, millis d)
    {
        return {t.ms - d.count};
    }
};

/// Source of monotonic time. Only drivers of the reducer read it, never the core itself.
class clock_source {
public:
    clock_source() = default;
    clock_source(const clock_source&) = delete;
    clock_source& operator=(const clock_source&) = delete;
    clock_source(clock_source&&) = delete;
    clock_source& operator=(clock_source&&) = delete;
    virtual ~clock_source() = default;

    /// \return the monotonic time in milliseconds.
    virtual instant now() = 0;
};

} // namespace cuminmoor
