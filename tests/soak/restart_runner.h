/// \file
/// Restart of a runner that nobody is told of.
#pragma once

#include <cstdint>

#include "runner.h"

namespace soak {

/// Crashes the runner, if it is up, and boots it at once under its id. Its first heartbeat is
/// `first_heartbeat_ms` later. Only on the loop's thread.
inline void restart_runner(review::runner& r, std::int64_t first_heartbeat_ms)
{
    review::runner_options options = r.options();
    options.first_heartbeat_ms = first_heartbeat_ms;
    if (r.is_up()) {
        r.crash();
    }
    r.boot(options);
}

} // namespace soak
