/// \file
/// Detection of ended attempts from the workers' reports.
///
/// An attempt is released only on positive evidence that it is not running and can no longer start:
/// - the worker reports its end, or
/// - a report without the attempt was written after the start order had expired on the worker's
///   clock, or
/// - the worker is a new incarnation that does not report the attempt, or
/// - the platform no longer lists the worker.
///
/// A worker that does not answer is no evidence.
#include "absl/strings/str_cat.h"
#include "records_json.h"
#include "scheduler_parts.h"

namespace cuminmoor {

namespace {

const task_report* find_report(const worker_report& report, const task_id& id,
                               std::uint32_t attempt)
{
    for (const auto& t : report.tasks) {
        if (t.task == id && t.attempt == attempt) {
            return &t;
        }
    }
    return nullptr;
}

/// \return true if no start order of the assignment can take effect any more. An end reported
/// before that is not committed yet, as a delayed copy of the order could start the ended attempt
/// again.
bool is_start_expired(const context& c, const worker_state& w, const assignment& a)
{
    return !c.s.scheduler.switches.start_validity || w.last.incarnation != a.incarnation ||
           w.last.clock >= a.start_before;
}

std::string newest_checkpoint(const worker_state& w, const task_id& id, const task_report* report)
{
    if (report != nullptr && !report->checkpoint.empty()) {
        return report->checkpoint;
    }
    const auto known = w.checkpoints.find(id);
    return known == w.checkpoints.end() ? std::string{} : known->second;
}

void release(context& c, commit_draft& d, const task_id& id, const assignment& a,
             release_cause cause, std::string checkpoint)
{
    c.s.counters.add(absl::StrCat("scheduler.released.", name_of(cause)));
    d.add(id, task_released{id, a.attempt, cause, std::move(checkpoint)});
}

void handle_failure(context& c, commit_draft& d, const task_id& id, const task_entry& task,
                    std::string checkpoint)
{
    const auto& a = *task.current_assignment;
    auto failed_on = task.failed_on;
    failed_on.insert(a.worker);
    if (failed_on.size() >= config::max_failed_workers ||
        task.failures + 1 >= config::max_failed_attempts) {
        c.s.counters.add("scheduler.task_given_up");
        d.add(id, task_failed{id, a.attempt});
        return;
    }
    release(c, d, id, a, release_cause::failed, std::move(checkpoint));
}

void handle_report(context& c, commit_draft& d, const task_id& id, const task_entry& task,
                   const worker_state& w, const task_report& report)
{
    const auto& a = *task.current_assignment;
    std::string checkpoint = newest_checkpoint(w, id, &report);
    const bool has_ended =
        report.status == task_status::finished || report.status == task_status::failed;
    if (has_ended && c.s.scheduler.job_ledger.jobs.at(id.job).is_service) {
        release(c, d, id, a, release_cause::service_ended, {});
        return;
    }
    switch (report.status) {
    case task_status::running:
        return;
    case task_status::finished:
        d.add(id, task_finished{id, a.attempt});
        return;
    case task_status::failed:
        handle_failure(c, d, id, task, std::move(checkpoint));
        return;
    case task_status::stopped:
        release(c, d, id, a, a.stopping ? a.stop_cause : release_cause::evicted,
                std::move(checkpoint));
        return;
    case task_status::lapsed:
        release(c, d, id, a, release_cause::lapsed, std::move(checkpoint));
        return;
    }
}

void reconcile_task(context& c, commit_draft& d, const task_id& id, const worker_state& w)
{
    const auto* const task = find_task(c.s.scheduler.job_ledger, id);
    if (task == nullptr || !task->current_assignment || !d.is_unchanged(id)) {
        return;
    }
    const auto& a = *task->current_assignment;
    if (!is_start_expired(c, w, a)) {
        return;
    }
    if (const auto* const report = find_report(w.last, id, a.attempt)) {
        handle_report(c, d, id, *task, w, *report);
        return;
    }
    const bool restarted = w.last.incarnation != a.incarnation;
    release(c, d, id, a, restarted ? release_cause::worker_restarted : release_cause::never_started,
            newest_checkpoint(w, id, nullptr));
}

void reconcile_workers(context& c, commit_draft& d)
{
    auto& s = c.s.scheduler;
    while (!s.unreconciled_workers.empty() && !d.is_full()) {
        const vm_id id = *s.unreconciled_workers.begin();
        s.unreconciled_workers.erase(s.unreconciled_workers.begin());
        const auto worker = s.workers.find(id);
        const auto tasks = s.job_ledger.tasks_by_worker.find(id);
        if (worker == s.workers.end() || !worker->second.has_report ||
            tasks == s.job_ledger.tasks_by_worker.end()) {
            continue;
        }
        for (const auto& task : tasks->second) {
            reconcile_task(c, d, task, worker->second);
        }
    }
}

/// \return true if the platform has ended the worker.
bool is_gone(const context& c, const vm_id& id)
{
    const auto& s = c.s.scheduler;
    if (!c.s.membership.has_list) {
        return false;
    }
    const auto listed = c.s.membership.vms.find(id);
    if (listed != c.s.membership.vms.end()) {
        return listed->second.phase == vm_phase::gone;
    }
    // This process never saw the worker listed: its list may be older than the assignment.
    return c.now - s.recovered_at >= config::unlisted_worker_grace;
}

bool is_treated_as_gone(const context& c, const vm_id& id)
{
    const auto& s = c.s.scheduler;
    const auto worker = s.workers.find(id);
    if (worker != s.workers.end() && worker->second.listed) {
        return !s.switches.positive_evidence && worker->second.failed_syncs >= 3;
    }
    return is_gone(c, id);
}

void release_from_gone_workers(context& c, commit_draft& d)
{
    const auto& s = c.s.scheduler;
    for (const auto& [id, tasks] : s.job_ledger.tasks_by_worker) {
        if (d.is_full()) {
            return;
        }
        if (!is_treated_as_gone(c, id)) {
            continue;
        }
        const auto worker = s.workers.find(id);
        const worker_state unknown;
        const auto& w = worker == s.workers.end() ? unknown : worker->second;
        for (const auto& task : tasks) {
            const auto* const entry = find_task(s.job_ledger, task);
            if (entry != nullptr && entry->current_assignment && d.is_unchanged(task)) {
                release(c, d, task, *entry->current_assignment, release_cause::worker_gone,
                        newest_checkpoint(w, task, nullptr));
            }
        }
    }
}

} // namespace

void collect_attempt_ends(context& c, commit_draft& d)
{
    reconcile_workers(c, d);
    release_from_gone_workers(c, d);
}

} // namespace cuminmoor
