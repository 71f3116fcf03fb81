/// \file
/// Reports of an overloaded event loop.
#include "lag_report.h"

#include <string>
#include <utility>

#include "io_limits.h"

namespace cuminmoor::io {

namespace {

/// \return how much a counter grew. A smaller value means that it started again from 0.
std::uint64_t growth(std::uint64_t earlier, std::uint64_t now)
{
    return now >= earlier ? now - earlier : now;
}

} // namespace

std::optional<std::vector<log_field>> lag_report::observe(millis lag, instant now,
                                                          const central::central_state& s)
{
    const bool is_recent = reported_at_ && now - *reported_at_ < lag_report_period;
    if (lag <= min_reported_lag || is_recent) {
        return std::nullopt;
    }
    const central::scheduler_state& scheduler = s.scheduler;
    const auto rounds = growth(placement_rounds_, scheduler.placement_rounds);
    const auto scored = growth(runners_scored_, scheduler.runners_scored);
    const millis since = reported_at_ ? now - *reported_at_ : millis{0};
    reported_at_ = now;
    placement_rounds_ = scheduler.placement_rounds;
    runners_scored_ = scheduler.runners_scored;
    return std::vector<log_field>{{"lag_ms", std::to_string(lag.count)},
                                  {"open_calls", std::to_string(s.calls.size())},
                                  {"ready_steps", std::to_string(scheduler.ready.size())},
                                  {"placement_rounds", std::to_string(rounds)},
                                  {"runners_scored", std::to_string(scored)},
                                  {"since_ms", std::to_string(since.count)}};
}

} // namespace cuminmoor::io
