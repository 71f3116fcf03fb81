/// \file
/// Runs an event loop until nothing more is expected from it, at the end of a process.
#pragma once

#include <cstdint>
#include <functional>

#include <asio/io_context.hpp>

#include "cuminmoor/clock.h"

namespace cuminmoor::io {

/// What the loop has done for callers.
struct call_progress {
    /// Number of calls that were read.
    std::uint64_t calls{0};
    /// All responses are written.
    bool is_flushed{false};
};

struct quiet_limits {
    /// The loop is quiet once no call was read for this long.
    millis quiet_time;
    /// Calls are awaited no longer than until this time.
    instant end;
    /// Longest time for a last look at what has arrived until `end`.
    millis last_look;
};

/// Runs the loop until it is quiet and all responses are written, or the limit has passed. What has
/// arrived by then is still handled: a process that got no processor time while it waited must not
/// take the time that has passed for silence.
/// \return true if the loop became quiet.
bool run_until_quiet(asio::io_context& context, clock_source& clock,
                     const std::function<call_progress()>& progress, const quiet_limits& limits);

} // namespace cuminmoor::io
