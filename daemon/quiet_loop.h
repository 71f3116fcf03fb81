/// \file
/// Runs an event loop until nothing more is expected from it, at the end of a process.
#pragma once

#include <functional>

#include <asio/io_context.hpp>

#include "cuminmoor/clock.h"

namespace cuminmoor::io {

struct quiet_limits {
    /// The loop is quiet once no handler was ready for this long.
    millis quiet_time;
    /// Handlers are awaited no longer than this.
    millis max_time;
};

/// Runs the loop until it is quiet and all responses are flushed, or `max_time` has passed. What is
/// ready at that moment is still handled, so input that arrived while the process got no processor
/// time is not dropped.
/// \return true if the loop became quiet with all responses flushed.
bool run_until_quiet(asio::io_context& context, clock_source& clock,
                     const std::function<bool()>& is_flushed, const quiet_limits& limits);

} // namespace cuminmoor::io
