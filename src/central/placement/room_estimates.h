/// \file
/// Estimates of the room on a runner, now and once its runs have ended.
#pragma once

#include <optional>

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

} // namespace cuminmoor::central
