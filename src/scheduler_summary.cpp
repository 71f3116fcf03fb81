/// \file
/// Summary rows of jobs, and removal of ended jobs from the ledger.
#include "cuminmoor/inbox.h"
#include "scheduler_parts.h"

namespace cuminmoor {

namespace {

void set_due(summary_queue& q, const job_id& job, instant due)
{
    const auto [at, added] = q.due_of.emplace(job, due);
    if (!added) {
        if (at->second <= due) {
            return;
        }
        q.order.erase({at->second, job});
        at->second = due;
    }
    q.order.insert({due, job});
}

millis retention_of(const job_entry& job)
{
    return job.totals.in(task_phase::moved) > 0 ? config::moved_job_retention
                                                : config::ended_job_retention;
}

void remove_ended_jobs(context& c, commit_draft& d)
{
    auto& s = c.s.scheduler;
    for (auto at = s.ended_jobs.begin(); at != s.ended_jobs.end() && !d.is_full();) {
        const auto job = s.job_ledger.jobs.find(at->first);
        if (job == s.job_ledger.jobs.end() || !job->second.has_ended()) {
            at = s.ended_jobs.erase(at);
            continue;
        }
        if (c.now - at->second >= retention_of(job->second) &&
            !s.summaries.due_of.contains(at->first) && !d.changed_jobs.contains(at->first)) {
            d.changed_jobs.insert(at->first);
            d.records.emplace_back(job_forgotten{at->first});
        }
        ++at;
    }
}

} // namespace

void schedule_summary(context& c, const ledger& job_ledger, const job_id& job)
{
    auto& s = c.s.scheduler;
    const auto found = job_ledger.jobs.find(job);
    if (found == job_ledger.jobs.end()) {
        return;
    }
    if (found->second.has_ended()) {
        s.ended_jobs.emplace(job, c.now);
        set_due(s.summaries, job, c.now);
        return;
    }
    set_due(s.summaries, job, c.now + config::summary_period);
}

void clear_due_summaries(scheduler_state& s, const std::vector<job_id>& jobs)
{
    for (const auto& job : jobs) {
        const auto at = s.summaries.due_of.find(job);
        if (at != s.summaries.due_of.end()) {
            s.summaries.order.erase({at->second, job});
            s.summaries.due_of.erase(at);
        }
    }
}

void collect_summaries(context& c, commit_draft& d)
{
    auto& s = c.s.scheduler;
    for (const auto& [due, id] : s.summaries.order) {
        if (due > c.now || d.summarized.size() >= config::max_summaries_per_commit) {
            break;
        }
        d.summarized.push_back(id);
        const auto job = s.job_ledger.jobs.find(id);
        if (job != s.job_ledger.jobs.end()) {
            const auto& fd = c.s.self.failure_domain;
            d.extra.writes.push_back(
                {job_summary_key(id, fd), encode_job_summary(summarize(job->second, fd))});
        }
    }
    remove_ended_jobs(c, d);
}

} // namespace cuminmoor
