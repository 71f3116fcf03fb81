/// \file
/// Services that ran before and have no run, and the room kept for them.
#pragma once

#include <cstdint>
#include <vector>

#include "central/context.h"
#include "central/jobs/jobs.h"

namespace cuminmoor::central {

/// \return true if the task is of a service and ran before. Room that is kept does not hold it off.
bool is_returning_service(const task_ref& ref);
/// Adds a ready task to the waiting services; no effect on tasks that are none.
void add_waiting_service(const context& c, const graph_task_id& id, const task_ref& ref);
/// Removes a task that is not ready any more.
void remove_waiting_service(const context& c, const graph_task_id& id);
/// \return the waiting services that may start now, by priority, then the longest waits first.
std::vector<graph_task_id> startable_services(const context& c);

/// One offer of the waiting services to the runners.
struct service_pass {
    std::uint64_t number{0};
    /// All schedulable runners.
    std::vector<runner_record*> runners;
    /// Those of them that may have gained room since the last pass; now and then all.
    std::vector<runner_record*> changed;

    /// \param rejected_in number of the last pass in which all runners rejected the step.
    /// \return the runners to offer it now: those that rejected it in the last pass and have gained
    /// no room since would reject it again.
    [[nodiscard]] const std::vector<runner_record*>& runners_for(std::uint64_t rejected_in) const
    {
        return rejected_in != 0 && rejected_in + 1 == number ? changed : runners;
    }
};

/// Keeps room for services that no runner can take now: each on one runner, no more than it needs.
void keep_room(const context& c, const service_pass& pass,
               const std::vector<graph_task_id>& services);
/// Records a start, for the log of services that wait meanwhile.
void note_start(const context& c, const graph_task_id& id);
/// Logs the longest wait, what withholds the runners and what was started meanwhile, from time to
/// time.
void log_waiting_services(const context& c);

} // namespace cuminmoor::central
