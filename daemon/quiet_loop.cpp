/// \file
/// Detects that no calls arrive on an event loop any more.
#include "quiet_loop.h"

#include <chrono>

namespace cuminmoor::io {

namespace {

void handle_what_is_ready(asio::io_context& context, clock_source& clock, instant end)
{
    // Enough for the sockets that one poll of the loop reports, if the time has passed already.
    constexpr int min_handlers{256};
    int handled{0};
    while ((handled < min_handlers || clock.now() < end) && context.poll_one() != 0) {
        ++handled;
    }
}

} // namespace

bool run_until_quiet(asio::io_context& context, clock_source& clock,
                     const std::function<call_progress()>& progress, const quiet_limits& limits)
{
    context.restart();
    const std::chrono::milliseconds quiet_time{limits.quiet_time.count};
    while (clock.now() < limits.end) {
        const std::uint64_t calls_before = progress().calls;
        context.run_for(quiet_time);
        handle_what_is_ready(context, clock, limits.end);
        const call_progress reached = progress();
        if (reached.calls == calls_before && reached.is_flushed) {
            return true;
        }
    }
    handle_what_is_ready(context, clock, limits.end + limits.last_look);
    return false;
}

} // namespace cuminmoor::io
