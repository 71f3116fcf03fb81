/// \file
/// Rate limiter for log lines of one kind.
#pragma once

#include <cstdint>
#include <optional>

#include "cuminmoor/clock.h"

namespace cuminmoor::io {

/// Admits at most `lines_per_window` lines in each window of `window_length`. Not thread-safe.
class log_limiter {
public:
    static constexpr millis window_length{1'000};
    static constexpr std::uint32_t lines_per_window{20};

    /// \return nothing when the line is to be suppressed, else the number of lines suppressed since
    /// the last admitted one.
    std::optional<std::uint64_t> admit(instant now)
    {
        if (now - window_start_ >= window_length) {
            window_start_ = now;
            admitted_ = 0;
        }
        if (admitted_ == lines_per_window) {
            ++suppressed_;
            return std::nullopt;
        }
        ++admitted_;
        const std::uint64_t before = suppressed_;
        suppressed_ = 0;
        return before;
    }

private:
    instant window_start_;
    std::uint32_t admitted_{0};
    std::uint64_t suppressed_{0};
};

} // namespace cuminmoor::io
