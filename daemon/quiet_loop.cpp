/// \file
/// Detects that an event loop has nothing left to do.
#include "quiet_loop.h"

#include <chrono>

namespace cuminmoor::io {

bool run_until_quiet(asio::io_context& context, clock_source& clock,
                     const std::function<bool()>& is_flushed, const quiet_limits& limits)
{
    context.restart();
    const instant end = clock.now() + limits.max_time;
    const std::chrono::milliseconds quiet_time{limits.quiet_time.count};
    while (clock.now() < end) {
        // The process may have been without processor time while it waited: only a look at the
        // sockets afterwards shows that nothing arrived meanwhile.
        const bool is_quiet = context.run_one_for(quiet_time) == 0 && context.poll() == 0;
        if (is_quiet && is_flushed()) {
            return true;
        }
    }
    context.poll();
    return false;
}

} // namespace cuminmoor::io
