/// \file
/// Estimates of the room on a runner, now and once its runs have ended.
#include "central/placement/room_estimates.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "central/placement/run_times.h"

namespace cuminmoor::central {

namespace {

/// A run that will give its room back.
struct expected_end {
    instant at;
    resources size;
};

/// \return when a run is expected to end, by `expected_run_time`. One that is late by some time is
/// expected to take as long again.
instant expected_end_of(const context& c, const task_ref& ref)
{
    const run& r = *ref.task->current_run;
    if (r.phase == run_phase::stopping) {
        return c.now;
    }
    const instant estimate = r.ordered_at + expected_run_time(c.s, ref);
    return estimate >= c.now ? estimate : c.now + (c.now - estimate);
}

/// \return the ends of runs on the runner, earliest first; services that are not stopped have none.
std::vector<expected_end> expected_ends(const context& c, const runner_record& r)
{
    std::vector<expected_end> ends;
    for (const graph_task_id& id : r.runs) {
        const task_ref ref = find_task(c.s, id);
        if (!ref || !ref.task->current_run) {
            continue;
        }
        if (ref.step->is_service && ref.task->current_run->phase != run_phase::stopping) {
            continue;
        }
        resources size = ref.step->task_size;
        if (ref.step->uses_leftover) {
            size.milli_cores = 0;
        }
        ends.push_back({expected_end_of(c, ref), size});
    }
    std::sort(ends.begin(), ends.end(),
              [](const expected_end& a, const expected_end& b) { return a.at < b.at; });
    return ends;
}

} // namespace

resources free_room(const runner_record& r)
{
    resources free = r.entry.capacity;
    free -= r.reserved;
    return free;
}

resources limited_to(resources wanted, const resources& free)
{
    const auto limit = [](std::int64_t want, std::int64_t most) {
        return std::clamp(most, std::int64_t{0}, want);
    };
    return {limit(wanted.milli_cores, free.milli_cores), limit(wanted.memory_mib, free.memory_mib),
            limit(wanted.accelerators, free.accelerators)};
}

double missing_share(const runner_record& r, const resources& wanted)
{
    const resources free = free_room(r);
    const auto share = [](std::int64_t want, std::int64_t has, std::int64_t capacity) {
        return want <= has ? 0 : static_cast<double>(want - has) / static_cast<double>(capacity);
    };
    return std::max({share(wanted.milli_cores, free.milli_cores, r.entry.capacity.milli_cores),
                     share(wanted.memory_mib, free.memory_mib, r.entry.capacity.memory_mib),
                     share(wanted.accelerators, free.accelerators, r.entry.capacity.accelerators)});
}

std::optional<instant> expected_room_at(const context& c, const runner_record& r,
                                        const resources& wanted)
{
    resources free = free_room(r);
    instant at = c.now;
    for (const expected_end& end : expected_ends(c, r)) {
        if (wanted.fits(free)) {
            break;
        }
        free += end.size;
        at = end.at;
    }
    return wanted.fits(free) ? std::optional{at} : std::nullopt;
}

expected_room first_expected_room(const context& c, const std::vector<room_candidate>& candidates)
{
    std::vector<std::pair<double, const room_candidate*>> nearest;
    nearest.reserve(candidates.size());
    for (const room_candidate& each : candidates) {
        nearest.emplace_back(missing_share(*each.runner, each.wanted), &each);
    }
    const std::size_t count = std::min(nearest.size(), config::max_estimated_runners);
    std::partial_sort(nearest.begin(), nearest.begin() + static_cast<std::ptrdiff_t>(count),
                      nearest.end(),
                      [](const auto& a, const auto& b) { return a.first < b.first; });
    nearest.resize(count);
    expected_room first;
    for (const auto& [missing, each] : nearest) {
        const auto at = expected_room_at(c, *each->runner, each->wanted);
        if (at && (first.runner == nullptr || *at < first.at)) {
            first = {each->runner, *at};
        }
    }
    return first;
}

} // namespace cuminmoor::central
