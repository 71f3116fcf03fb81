/// \file
/// Estimates of the room on a runner, now and once its runs have ended.
#pragma once

#include <optional>
#include <vector>

#include "central/context.h"
#include "central/jobs/jobs.h"

namespace cuminmoor::central {

/// \return what no run has reserved.
resources free_room(const runner_record& r);
/// \return `wanted`, but in no dimension more than what is free.
resources limited_to(resources wanted, const resources& free);
/// \return the largest share of the runner's capacity that is missing in any dimension.
double missing_share(const runner_record& r, const resources& wanted);
/// \return when the runner is expected to have this room; empty: never, as services take it.
std::optional<instant> expected_room_at(const context& c, const runner_record& r,
                                        const resources& wanted);

/// A runner that could take a task, and the room that must come free there.
struct room_candidate {
    runner_record* runner{nullptr};
    resources wanted;
};

/// A runner and when it is expected to have the room; null: none.
struct expected_room {
    runner_record* runner{nullptr};
    instant at;
};

/// \return of the `max_estimated_runners` that lack the least, the one that is expected to have the
/// room first.
expected_room first_expected_room(const context& c, const std::vector<room_candidate>& candidates);

} // namespace cuminmoor::central
