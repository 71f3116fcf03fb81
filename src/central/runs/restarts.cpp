/// \file
/// Restart back-off of services.
///
/// A service is started again however its runs end. If they end by themselves soon after their
/// start, again and again, each further start waits longer, up to a limit at which users do not
/// miss the service yet. A successor begins the back-off anew.
#include "central/parts.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

/// \return the time from one start to the next after this many short runs in a row.
millis restart_interval(std::uint32_t short_runs)
{
    millis interval = config::min_restart_interval;
    for (std::uint32_t i{2}; i < short_runs && interval < config::max_restart_interval; ++i) {
        interval = interval * 2;
    }
    return short_runs < 2 ? millis{0} : std::min(interval, config::max_restart_interval);
}

} // namespace

void record_service_exit(const context& c, const graph_task_id& id, const task_ref& ref)
{
    restart_backoff& restarts = ref.task->restarts;
    const instant started_at = ref.task->current_run->ordered_at;
    const bool was_short = c.now - started_at < config::max_restart_interval;
    restarts.short_runs = was_short ? restarts.short_runs + 1 : 0;
    restarts.until = started_at + restart_interval(restarts.short_runs);
    if (restarts.until > c.now) {
        c.log("restart_delayed", {{"task", to_string(id)},
                                  {"short_runs", absl::StrCat(restarts.short_runs)},
                                  {"for_ms", absl::StrCat((restarts.until - c.now).count)}});
    }
}

bool awaits_restart(const context& c, const task_ref& ref)
{
    const bool waits = c.now < ref.task->restarts.until;
    if (waits) {
        c.wake_by(ref.task->restarts.until);
    }
    return waits;
}

} // namespace cuminmoor::central
