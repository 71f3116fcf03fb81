/// \file
/// The reducer of central scheduling: dispatches events to the components and runs their periodic
/// checks.
#include "absl/strings/str_cat.h"
#include "central/lease/members.h"
#include "central/parts.h"

namespace cuminmoor::central {

namespace {

template <typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

void on_operator_changed(const context& c, const operator_changed& e)
{
    operator_configuration& known = c.s.operators;
    if (e.view.newest.version > known.newest.version) {
        c.log("manifest_in_force",
              {{"from", absl::StrCat(known.newest.version)},
               {"to", absl::StrCat(e.view.newest.version)},
               {"queues", absl::StrCat(e.view.newest.queues.size())},
               {"credentials", absl::StrCat(e.view.newest.credentials.size())}});
        known.newest = e.view.newest;
        c.s.manifest_read = true;
        for (auto& [id, job] : c.s.scheduler.jobs) {
            const queue* const q = find_queue(known.newest, job.spec.queue);
            if (q != nullptr && !job.has_ended()) {
                job.queue_settings.service = q->service;
                job.queue_settings.max_attempts = q->max_attempts;
            }
        }
        refresh_organisations(c);
        for (auto& [id, r] : c.s.scheduler.runners) {
            r.offer_again();
        }
        reread_ignored_entries(c);
    }
    if (e.view.out_of_service != known.out_of_service) {
        c.log("failure_domains_out", {{"count", absl::StrCat(e.view.out_of_service.size())}});
        known.out_of_service = e.view.out_of_service;
    }
    c.s.scheduler.placement_due = true;
}

void on_stop_requested(const context& c)
{
    if (c.s.stopping) {
        return;
    }
    c.s.stopping = true;
    c.s.drain_deadline = c.now + config::drain_time;
    c.log("shutdown_begun", {{"open_calls", absl::StrCat(c.s.calls.size())},
                             {"role", name_of(c.s.lease.current_role)}});
    begin_release(c);
}

void check_stopping(const context& c)
{
    if (!c.s.stopping || c.s.shutdown_reported) {
        return;
    }
    if (c.now >= c.s.drain_deadline) {
        c.s.shutdown_reported = true;
        answer_all_open_calls(c);
        c.add(shutdown_complete{});
        return;
    }
    c.wake_by(c.s.drain_deadline);
}

void on_rows_committed(const context& c, const rows_committed& e)
{
    switch (e.purpose) {
    case commit_purpose::lease:
        on_lease_committed(c, e);
        break;
    case commit_purpose::progress:
        on_progress_committed(c, e);
        break;
    case commit_purpose::capacity:
        on_capacity_committed(c, e);
        break;
    }
}

void dispatch(const context& c, const event& e)
{
    std::visit(overloaded{
                   [](const tick&) {},
                   [&](const stop_requested&) { on_stop_requested(c); },
                   [&](const caller_call& x) { on_caller_call(c, x); },
                   [&](const peer_call_received& x) { on_peer_call(c, x); },
                   [&](const peer_call_ended& x) { on_peer_call_ended(c, x); },
                   [&](const rows_committed& x) { on_rows_committed(c, x); },
                   [&](const rows_read_done& x) { on_rows_read(c, x); },
                   [&](const registry_changed& x) { on_registry_changed(c, x); },
                   [&](const operator_changed& x) { on_operator_changed(c, x); },
                   [&](const control_changed& x) { on_control_changed(c, x); },
                   [&](const store_reachable& x) { on_store_reachable(c, x); },
                   [&](const runner_order_ended& x) { on_order_ended(c, x); },
                   [&](const runner_hold_ended& x) { on_hold_ended(c, x); },
               },
               e);
}

/// Runs the periodic checks. Those of runners run on ticks only, which tell of the reports that
/// wait.
/// \param t null if the checks run with another event.
void check_all(const context& c, const tick* t)
{
    check_members(c);
    check_lease(c);
    check_loading(c);
    if (c.is_scheduler()) {
        check_jobs(c);
        check_unstored_jobs(c);
    }
    if (c.is_scheduler() && t != nullptr) {
        check_runners(c, t->unread_reports);
        relocate_throttled_tasks(c);
    }
    check_calls(c);
    check_stopping(c);
}

} // namespace

std::string to_string(const graph_task_id& id)
{
    return absl::StrCat(id.job.value, ".", id.occurrence, ".", id.step, ".", id.index);
}

effects reduce(central_state& s, const event& e, instant now, millis wall_time)
{
    effects out;
    const context c{s, out, now, wall_time};
    const tick* const t = std::get_if<tick>(&e);
    const bool is_due = t != nullptr || (now >= s.wake_at && now >= s.next_check_at);
    if (is_due) {
        s.next_check_at = now + config::min_check_interval;
    }
    if (t != nullptr) {
        s.wake_at = now + config::tick_period;
    }
    dispatch(c, e);
    if (is_due) {
        check_all(c, t);
    }
    place_ready_tasks(c);
    send_commit(c);
    return out;
}

} // namespace cuminmoor::central
