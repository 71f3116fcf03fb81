/// \file
/// Structured log on standard output: one line of key=value pairs per event.
///
/// Never blocks: lines are buffered and written when the event loop is idle. Lines over a limit are
/// dropped and counted. Routine lines, of which a busy scheduler writes hundreds a second, may use
/// only a part of each limit, so that they do not displace the others.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cuminmoor/clock.h"
#include "cuminmoor/effect.h"

namespace cuminmoor::io {

class line_log {
public:
    /// Rate limit.
    static constexpr std::size_t bytes_per_second{262'144};
    /// Limit of the buffer while nobody reads standard output.
    static constexpr std::size_t max_buffered_bytes{524'288};
    /// Limits for routine lines, within those for all lines.
    static constexpr std::size_t routine_bytes_per_second{bytes_per_second / 2};
    static constexpr std::size_t max_buffered_bytes_for_routine{max_buffered_bytes / 2};

    /// \param vm, failure_domain fields of every line.
    line_log(clock_source& clock, std::string vm, std::string failure_domain);

    /// Buffers a line, or drops it when a limit is reached.
    void add(const std::string& event, const std::vector<log_field>& fields);
    /// Writes as much of the buffer as is possible without blocking.
    void flush();
    /// \return the number of all dropped lines, including routine lines.
    [[nodiscard]] std::uint64_t dropped_lines() const { return dropped_lines_; }
    [[nodiscard]] std::uint64_t dropped_routine_lines() const { return dropped_routine_lines_; }

private:
    /// Starts a new window of the rate limit when the current one has elapsed.
    void advance_window();
    /// \return true when neither the rate limit nor the buffer limit is exceeded.
    [[nodiscard]] bool fits(std::size_t bytes, bool is_routine) const;
    void count_dropped(bool is_routine);
    /// Adds a line with the number of dropped lines, at most one in each window.
    void report_dropped_lines();

    clock_source& clock_;
    /// Fields `vm` and `fd`, appended to every line.
    std::string suffix_;
    std::string buffer_;
    instant window_start_;
    std::size_t window_bytes_{0};
    /// The part of `window_bytes_` that routine lines took.
    std::size_t window_routine_bytes_{0};
    std::uint64_t dropped_lines_{0};
    std::uint64_t dropped_routine_lines_{0};
    /// Value of `dropped_lines_` in the last `log_lines_left_out` line.
    std::uint64_t reported_dropped_lines_{0};
    bool has_reported_in_window_{false};
};

} // namespace cuminmoor::io
