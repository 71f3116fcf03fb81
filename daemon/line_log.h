/// \file
/// Structured log on standard output: one line of key=value pairs for each event.
///
/// Never blocks: lines are collected, written when the event loop has nothing better to do, and
/// counted when they had to be left out.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cuminmoor/clock.h"
#include "cuminmoor/effect.h"

namespace cuminmoor::io {

class line_log {
public:
    /// Most bytes a second; the rest is left out and counted.
    static constexpr std::size_t bytes_per_second{262'144};
    /// Most bytes that wait while nobody reads them.
    static constexpr std::size_t max_buffered_bytes{524'288};

    /// \param vm, failure_domain stand in every line.
    line_log(clock_source& clock, std::string vm, std::string failure_domain);

    void add(const std::string& event, const std::vector<log_field>& fields);
    /// Writes what waits, as far as it can be written at once.
    void flush();
    [[nodiscard]] std::uint64_t dropped_lines() const { return dropped_lines_; }

private:
    void advance_window();
    [[nodiscard]] bool fits(std::size_t bytes) const;

    clock_source& clock_;
    std::string suffix_;
    std::string buffer_;
    instant window_start_;
    std::size_t window_bytes_{0};
    std::uint64_t dropped_lines_{0};
    std::uint64_t reported_dropped_lines_{0};
};

} // namespace cuminmoor::io
