/// \file
/// Quotas: no start brings what an organisation has running on all runners above its quota.
///
/// Answers callers of which one sends so much that it would take the room of the others.
#pragma once

#include <cstddef>

#include "central/jobs/jobs.h"

namespace cuminmoor::central {

/// \return the settings of an organisation by the newest known manifest; without quota if that does
/// not list it.
organisation owner_of(const context& c, const organisation_id& name);
/// Makes the job's owner known. Must be called before any of its tasks gets a run.
void add_owner(const context& c, const job_record& job);
/// Applies the newest known manifest, and keeps the settings of organisations that it lists no
/// more.
void refresh_organisations(const context& c);

/// Counts a run that the task has got.
void add_to_use(const context& c, const task_ref& ref);
/// \return what the job's owner has running; null if it has no owner.
organisation_use* find_use(const context& c, const job_record& job);
/// Counts a wait.
/// \return true if it is to be logged: the first, and one at most in each period.
bool count_wait(const context& c, wait_count& count);
/// Ends the count of a run that has certainly ended.
void remove_from_use(const context& c, const task_ref& ref);

/// \return true if this many tasks of the step may start without the organisation going above its
/// quota, or it is the only task that the organisation has running, whatever may run of it
/// unreported. If not, counts the wait and logs it from time to time.
bool is_within_quota(const context& c, const task_ref& ref, std::size_t tasks = 1);

/// During the recovery, counts what may run unreported. It only shrinks between two counts.
void count_unreported_runs(const context& c);

} // namespace cuminmoor::central
