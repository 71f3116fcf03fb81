/// \file
/// Order in which placement offers the waiting steps to the runners.
#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "central/context.h"

namespace cuminmoor::central {

/// What a job can still reach.
enum class attainable : std::uint8_t { objective, late_bound, neither };

/// How urgent a step is; less is more urgent. Steps of the same urgency are served by deadline.
struct urgency {
    std::int32_t priority{0};
    /// No earlier step of the job has ended, and less than half of this one's tasks have started.
    bool is_new{false};
    attainable reach{attainable::objective};

    auto operator<=>(const urgency&) const = default;
};

/// \return the expected time from the start of each step's tasks to the end of the job.
std::vector<millis> times_to_end(const central_state& s, job_record& job);
/// \param time_to_end if the step's tasks start now and run at full speed.
attainable attainable_for(const job_record& job, instant now, millis time_to_end);
/// \param key a step with ready tasks.
urgency urgency_of(const context& c, const ready_key& key);
/// \return the steps with ready tasks, most urgent first; by priority and deadline alone without
/// `scheduling_options::attainable_first`.
std::vector<ready_key> steps_by_urgency(const context& c);

} // namespace cuminmoor::central
