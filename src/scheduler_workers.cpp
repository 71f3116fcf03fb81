/// \file
/// Exchanges with the workers of this failure domain.
///
/// Each exchange derives its orders from the committed ledger and the worker's last report. So
/// there is no state to keep between exchanges, and repeated orders are harmless.
#include "scheduler_parts.h"
#include "scheduler_policy.h"

namespace cuminmoor {

namespace {

bool is_own_worker(const context& c, const vm_entry& vm)
{
    return vm.role == vm_role::worker && vm.failure_domain == c.s.self.failure_domain &&
           vm.phase != vm_phase::gone;
}

millis jittered_period(context& c, millis period)
{
    const std::int64_t half = period.count / 2;
    return {period.count - half / 2 +
            static_cast<std::int64_t>(jitter(c.s, static_cast<std::uint64_t>(half)))};
}

bool is_reported(const worker_report& report, const task_id& id, std::uint32_t attempt)
{
    for (const auto& t : report.tasks) {
        if (t.task == id && t.attempt == attempt) {
            return true;
        }
    }
    return false;
}

/// An exchange and the deadline for sending it.
struct planned_sync {
    worker_sync body;
    instant not_after{never};
};

void plan_start(const context& c, planned_sync& plan, const task_id& id, const assignment& a,
                const worker_state& w)
{
    const auto& s = c.s.scheduler;
    if (a.stopping || is_reported(w.last, id, a.attempt) || a.incarnation != w.last.incarnation) {
        return;
    }
    // Converts the deadline to our clock: the worker's clock read `w.last.clock` no later than at
    // `received_at`.
    const instant deadline = w.received_at + millis{a.start_before.ms - w.last.clock.ms};
    if (s.switches.start_validity) {
        if (c.now >= deadline) {
            return;
        }
        plan.not_after = std::min(plan.not_after, deadline);
    }
    const auto job = s.job_ledger.jobs.find(id.job);
    const auto* const task = find_task(s.job_ledger, id);
    start_order order{
        id, a.attempt, a.size, task->checkpoint, a.start_before, job->second.spec.command};
    if (!s.switches.start_validity) {
        order.start_before = {INT64_MAX / 4};
    }
    plan.body.orders.emplace_back(std::move(order));
}

void plan_starts(const context& c, planned_sync& plan, const worker_state& w)
{
    const auto& job_ledger = c.s.scheduler.job_ledger;
    const auto tasks = job_ledger.tasks_by_worker.find(plan.body.worker);
    if (tasks == job_ledger.tasks_by_worker.end()) {
        return;
    }
    for (const auto& id : tasks->second) {
        const auto* const task = find_task(job_ledger, id);
        if (task != nullptr && task->current_assignment) {
            plan_start(c, plan, id, *task->current_assignment, w);
        }
    }
}

/// Stops reported attempts that are stopping or not in the ledger; acknowledges ended attempts that
/// the ledger no longer assigns to the worker.
void plan_stops_and_acknowledgements(const context& c, planned_sync& plan, const worker_state& w)
{
    const auto& job_ledger = c.s.scheduler.job_ledger;
    for (const auto& t : w.last.tasks) {
        const auto* const a = find_assignment(job_ledger, t.task, t.attempt, plan.body.worker);
        if (t.status == task_status::running) {
            if (a == nullptr || a->stopping) {
                const bool with_checkpoint =
                    a != nullptr && a->stop_cause != release_cause::cancelled;
                plan.body.orders.emplace_back(stop_order{t.task, t.attempt, with_checkpoint});
            }
        }
        else if (a == nullptr) {
            plan.body.orders.emplace_back(acknowledge_order{t.task, t.attempt});
        }
    }
}

/// \return true if this process may currently send orders.
bool may_send_orders(const context& c)
{
    return c.s.scheduler.recovered && is_lease_valid(c);
}

void send_sync(context& c, const vm_id& id, worker_state& w)
{
    planned_sync plan;
    plan.body.worker = id;
    plan.body.renew_for = config::task_lease;
    if (may_send_orders(c) && w.has_report) {
        plan.body.incarnation = w.last.incarnation;
        plan.not_after = lease_decision_end(c.s.scheduler);
        plan_starts(c, plan, w);
        plan_stops_and_acknowledgements(c, plan, w);
        if (plan.body.orders.empty()) {
            plan.not_after = never;
        }
    }
    w.sync_in_flight = true;
    w.sync_requested_at = c.now;
    c.out.add(std::move(plan.body), plan.not_after);
}

/// \return true if this process renews the leases of the tasks on workers.
bool renews_worker_leases(const context& c)
{
    const auto& lease = c.s.scheduler.lease;
    if (c.s.stopping) {
        return lease.role == lease_role::holder;
    }
    // During a long store outage the holder may be dead and no successor can acquire the lease.
    return lease.role == lease_role::holder ||
           c.now - lease.read_at >= config::observer_keep_alive_after;
}

millis sync_period(const context& c)
{
    return c.s.scheduler.lease.role == lease_role::holder ? config::worker_sync_period
                                                          : config::observer_keep_alive_period;
}

void update_unassigned_attempt(const context& c, const vm_id& id, worker_state& w)
{
    w.has_unassigned_attempt = false;
    for (const auto& t : w.last.tasks) {
        if (t.status == task_status::running &&
            find_assignment(c.s.scheduler.job_ledger, t.task, t.attempt, id) == nullptr) {
            w.has_unassigned_attempt = true;
        }
    }
}

void update_checkpoints(const context& c, const vm_id& id, worker_state& w)
{
    std::map<task_id, std::string> kept;
    for (auto& [task, checkpoint] : w.checkpoints) {
        const auto* const entry = find_task(c.s.scheduler.job_ledger, task);
        if (entry != nullptr && entry->current_assignment &&
            entry->current_assignment->worker == id) {
            kept.emplace(task, std::move(checkpoint));
        }
    }
    for (const auto& t : w.last.tasks) {
        if (!t.checkpoint.empty() &&
            find_assignment(c.s.scheduler.job_ledger, t.task, t.attempt, id) != nullptr) {
            kept.insert_or_assign(t.task, t.checkpoint);
        }
    }
    w.checkpoints = std::move(kept);
}

} // namespace

void refresh_workers(context& c)
{
    auto& s = c.s.scheduler;
    for (auto& [id, w] : s.workers) {
        w.listed = false;
        w.is_schedulable = false;
    }
    for (const auto& [id, vm] : c.s.membership.vms) {
        if (!is_own_worker(c, vm)) {
            continue;
        }
        const auto [at, added] = s.workers.try_emplace(id);
        at->second.listed = true;
        at->second.is_schedulable =
            vm.phase == vm_phase::live && !c.s.membership.leaving.contains(id);
        if (added) {
            at->second.next_sync = c.now + millis{static_cast<std::int64_t>(jitter(c.s, 200))};
        }
    }
    std::erase_if(s.workers, [&s](const auto& entry) {
        return !entry.second.listed && !s.job_ledger.tasks_by_worker.contains(entry.first);
    });
}

void sync_workers(context& c)
{
    if (!renews_worker_leases(c)) {
        return;
    }
    for (auto& [id, w] : c.s.scheduler.workers) {
        if (w.sync_in_flight && c.now - w.sync_requested_at >= config::worker_sync_timeout) {
            c.s.counters.add("scheduler.worker_sync_lost");
            w.sync_in_flight = false;
        }
        if (w.listed && !w.sync_in_flight && c.now >= w.next_sync) {
            send_sync(c, id, w);
        }
    }
}

void on_worker_synced(context& c, const worker_synced& e)
{
    auto& s = c.s.scheduler;
    const auto at = s.workers.find(e.worker);
    if (at == s.workers.end()) {
        return;
    }
    auto& w = at->second;
    w.sync_in_flight = false;
    w.next_sync = w.resync_pending ? c.now : c.now + jittered_period(c, sync_period(c));
    w.resync_pending = false;
    if (!e.ok) {
        ++w.failed_syncs;
        c.s.counters.add("scheduler.worker_sync_failed");
        return;
    }
    if (w.has_report && e.sent_at < w.sent_at) {
        c.s.counters.add("scheduler.worker_report_stale");
        return;
    }
    w.failed_syncs = 0;
    w.has_report = true;
    w.sent_at = e.sent_at;
    w.received_at = c.now;
    w.last = e.report;
    update_unassigned_attempt(c, e.worker, w);
    update_checkpoints(c, e.worker, w);
    update_interference(c, e.worker, w.last);
    s.unreconciled_workers.insert(e.worker);
}

void request_sync(context& c, const vm_id& worker)
{
    const auto at = c.s.scheduler.workers.find(worker);
    if (at == c.s.scheduler.workers.end()) {
        return;
    }
    at->second.next_sync = c.now;
    at->second.resync_pending = at->second.sync_in_flight;
}

} // namespace cuminmoor
