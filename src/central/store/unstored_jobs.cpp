/// \file
/// Refusal of new jobs that the store does not have yet.
///
/// Answers the load of a store that takes calls and answers none for seconds: what came meanwhile
/// waited until its callers' time was over, and none of them could know whether its job runs. A job
/// in no commit certainly never runs, so its caller is told while it can still come back.
#include "central/store/unstored_jobs.h"

#include <iterator>
#include <set>
#include <utility>

#include "central/parts.h"

namespace cuminmoor::central {

namespace {

/// \return true if the open commit has had no outcome for too long.
bool is_store_silent(const context& c)
{
    const auto& open = c.s.scheduler.commits.open;
    return open && c.now - open->begun_at >= config::max_wait_for_store;
}

/// \return the jobs that the store may have got.
std::set<job_id> jobs_in_open_commit(const commit_state& commits)
{
    std::set<job_id> ids;
    if (commits.open) {
        for (const committed_job& each : commits.open->jobs) {
            ids.insert(each.job);
        }
    }
    return ids;
}

} // namespace

bool is_store_failing(const context& c)
{
    return !c.s.store_is_reachable || c.s.scheduler.commits.failing_since.has_value() ||
           is_store_silent(c);
}

bool refuse_unstored_job(const context& c, job_record& job)
{
    for (const call_handle handle : std::exchange(job.submitters, {})) {
        answer(c, handle, {.result = call_result::unavailable, .retry_after = config::retry_after});
    }
    if (job.has_ended()) {
        job.state = job_state::withdrawn;
        return false;
    }
    --c.s.scheduler.pending[job.spec.queue];
    return true;
}

void reject_unstored_jobs(const context& c)
{
    auto& jobs = c.s.scheduler.jobs;
    const std::set<job_id> maybe_stored = jobs_in_open_commit(c.s.scheduler.commits);
    for (auto it = jobs.begin(); it != jobs.end();) {
        job_record& job = it->second;
        const bool is_unstored =
            job.stored == stored_part::nothing && !maybe_stored.contains(it->first);
        const bool is_dropped = is_unstored && refuse_unstored_job(c, job);
        it = is_dropped ? jobs.erase(it) : std::next(it);
    }
    // A job that is submitted again has an entry of its own.
    std::erase_if(c.s.scheduler.commits.changed_jobs,
                  [&jobs](const auto& changed) { return !jobs.contains(changed.first); });
}

void check_unstored_jobs(const context& c)
{
    if (is_store_silent(c)) {
        reject_unstored_jobs(c);
    }
}

} // namespace cuminmoor::central
