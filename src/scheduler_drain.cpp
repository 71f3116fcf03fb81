/// \file
/// Draining of leaving workers and of a failure domain that is out of service.
#include "cuminmoor/inbox.h"
#include "scheduler_parts.h"

namespace cuminmoor {

namespace {

void stop_tasks(context& c, commit_draft& d, const std::set<task_id>& tasks, release_cause cause)
{
    for (const auto& id : tasks) {
        const auto* const task = find_task(c.s.scheduler.job_ledger, id);
        if (task != nullptr && task->current_assignment && !task->current_assignment->stopping &&
            d.is_unchanged(id) && !d.is_full()) {
            d.add(id, task_stop_ordered{id, task->current_assignment->attempt, cause});
        }
    }
}

void stop_tasks_on_leaving_workers(context& c, commit_draft& d)
{
    const auto& job_ledger = c.s.scheduler.job_ledger;
    for (const auto& id : c.s.membership.leaving) {
        const auto tasks = job_ledger.tasks_by_worker.find(id);
        if (tasks != job_ledger.tasks_by_worker.end()) {
            stop_tasks(c, d, tasks->second, release_cause::evicted);
        }
    }
}

/// \return the other failure domains that are in service and have live workers.
std::vector<failure_domain_id> move_targets(const context& c)
{
    std::set<failure_domain_id> found;
    for (const auto& [id, vm] : c.s.membership.vms) {
        if (vm.role == vm_role::worker && vm.phase == vm_phase::live &&
            vm.failure_domain != c.s.self.failure_domain &&
            c.s.configuration.current.is_in_service(vm.failure_domain)) {
            found.insert(vm.failure_domain);
        }
    }
    return {found.begin(), found.end()};
}

void move_task(context& c, commit_draft& d, const task_id& id, const failure_domain_id& to)
{
    const auto& job = c.s.scheduler.job_ledger.jobs.at(id.job);
    const auto& task = job.tasks.at(id.index);
    const task_moved_in move{job.spec, job.submitted_at_s, id, task.attempts, task.checkpoint};
    const std::string key = inbox_move_key(to, id, task.attempts);
    d.add(id, task_moved_out{id, to});
    d.extra.preconditions.push_back({key, 0});
    d.extra.writes.push_back({key, encode_inbox_move(move)});
}

void move_waiting_tasks(context& c, commit_draft& d)
{
    auto& s = c.s.scheduler;
    if (s.job_ledger.waiting.empty()) {
        return;
    }
    const auto targets = move_targets(c);
    if (targets.empty()) {
        c.s.counters.add("scheduler.move_without_target");
        return;
    }
    for (const auto& key : s.job_ledger.waiting) {
        if (d.is_full()) {
            return;
        }
        // Service tasks are not moved: scheduler_services.cpp redistributes them.
        if (d.is_unchanged(key.task) && !s.job_ledger.jobs.at(key.task.job).is_service) {
            move_task(c, d, key.task, targets[s.next_move_target++ % targets.size()]);
        }
    }
}

} // namespace

void collect_drain(context& c, commit_draft& d)
{
    stop_tasks_on_leaving_workers(c, d);
    if (c.s.configuration.current.is_in_service(c.s.self.failure_domain)) {
        return;
    }
    for (const auto& [worker, tasks] : c.s.scheduler.job_ledger.tasks_by_worker) {
        stop_tasks(c, d, tasks, release_cause::domain_out);
    }
    move_waiting_tasks(c, d);
}

} // namespace cuminmoor
