/// \file
/// One step of the reducer, as its components see it.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "cuminmoor/central/config.h"
#include "cuminmoor/central/names.h"
#include "cuminmoor/central/state.h"

namespace cuminmoor::central {

/// One step of the reducer: the state, the current times and the effects produced so far.
struct context {
    central_state& s;
    effects& out;
    instant now;
    millis wall_time;

    void add(effect e) const { out.push_back(std::move(e)); }
    void log(std::string name, std::vector<log_field> fields) const
    {
        out.emplace_back(log_event{std::move(name), std::move(fields)});
    }
    /// Schedules the reducer's next periodic check no later than `at`.
    void wake_by(instant at) const { s.wake_at = std::min(s.wake_at, at); }
    [[nodiscard]] bool is_scheduler() const { return s.lease.current_role == role::scheduler; }
};

/// \return "job.occurrence.step.index".
std::string to_string(const graph_task_id& id);

} // namespace cuminmoor::central
