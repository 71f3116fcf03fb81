/// \file
/// Recovery after a takeover: which tasks may have runs of earlier terms that no runner has
/// reported.
///
/// Only used runners have such runs. One that answers reports them. For one that does not, the
/// holder before may have handed over which tasks can run there and when its leases end; otherwise
/// any task may run there until all leases have expired.
#include "handover.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

millis time_until(instant now, instant end)
{
    return std::max(millis{0}, end - now);
}

/// \return the handover of the holder before, with the times counted from now.
handover predecessors_handover(const context& c)
{
    const millis passed = c.now - c.s.lease.predecessor_seen_at;
    const auto left = [passed](millis time) { return std::max(millis{0}, time - passed); };
    handover h = c.s.lease.predecessor;
    h.leases_end_within = left(h.leases_end_within);
    for (unreported_runner& each : h.runners) {
        each.leases_end_within = left(each.leases_end_within);
    }
    return h;
}

std::vector<graph_task_id> service_tasks_on(const context& c, const runner_record& r)
{
    std::vector<graph_task_id> tasks;
    const auto add_if_service = [&](const graph_task_id& id) {
        const task_ref ref = find_task(c.s, id);
        // The successor may know a task that is unknown here.
        if (!ref || ref.step->is_service) {
            tasks.push_back(id);
        }
    };
    std::for_each(r.runs.begin(), r.runs.end(), add_if_service);
    for (const auto& [id, orphan] : r.orphans) {
        add_if_service(id);
    }
    return tasks;
}

/// \return true if the successor is told what may run there, as the runner may not answer it.
bool is_unreported(const runner_record& r, bool released)
{
    if (!r.stored) {
        return false;
    }
    if (released) {
        return !r.is_responsive || r.entry.draining || r.may_run_unreported;
    }
    // What is told of a runner keeps this holder from using it, so nothing is told of runners that
    // answer or have not been asked yet.
    const bool is_unknown = r.holds_failed == 0 && !r.handed_over;
    return !r.is_responsive && !is_unknown;
}

/// See `unreported_runner::suspects`.
void drop_suspects(handover& h)
{
    for (unreported_runner& each : h.runners) {
        each.suspects.clear();
    }
}

unreported_runner unreported_runner_of(const context& c, const runner_record& r)
{
    unreported_runner u;
    if (!r.may_run_unreported) {
        u.tasks = service_tasks_on(c, r);
        add_suspects(c, r, u);
    }
    else if (r.handed_over) {
        u = *r.handed_over;
    }
    u.runner = r.entry.id;
    u.leases_end_within = time_until(c.now, r.leases_expire_by);
    return u;
}

void mark_handed_over(const context& c, const unreported_runner& from)
{
    const auto found = c.s.scheduler.runners.find(from.runner);
    if (found != c.s.scheduler.runners.end()) {
        found->second.leases_expire_by = c.s.lease.predecessor_seen_at + from.leases_end_within;
        found->second.handed_over = from;
        // The row of this term repeats it.
        found->second.is_handed_over = true;
    }
}

unreported_runs find_unreported_runs(const scheduler_state& s)
{
    unreported_runs unreported;
    unreported.any_task = !s.register_known;
    for (const auto& [id, r] : s.runners) {
        if (!r.may_run_unreported) {
            continue;
        }
        if (!r.handed_over || !r.handed_over->tasks) {
            return {};
        }
        unreported.tasks.insert(r.handed_over->tasks->begin(), r.handed_over->tasks->end());
    }
    if (unreported.any_task) {
        return {};
    }
    return unreported;
}

} // namespace

handover make_handover(const context& c, bool released)
{
    if (c.s.lease.current_role != role::scheduler) {
        // This VM has granted no lease in this term.
        handover h = predecessors_handover(c);
        if (!released) {
            drop_suspects(h);
        }
        return h;
    }
    handover h;
    h.leases_end_within = longest_lease(c.s);
    for (const auto& [id, r] : c.s.scheduler.runners) {
        if (is_unreported(r, released)) {
            h.runners.push_back(unreported_runner_of(c, r));
        }
    }
    if (!released) {
        drop_suspects(h);
    }
    return h;
}

void begin_handover(const context& c, const lease_row& row)
{
    c.s.lease.handover_due = never;
    if (!row.handed_over) {
        return;
    }
    for (const unreported_runner& each : row.handed_over->runners) {
        c.s.lease.runners_in_row.insert(each.runner);
        const auto found = c.s.scheduler.runners.find(each.runner);
        if (found != c.s.scheduler.runners.end()) {
            found->second.is_handed_over = true;
        }
    }
}

void end_old_handovers(const context& c, const lease_row& stored)
{
    std::set<runner_id>& in_row = c.s.lease.runners_in_row;
    in_row.clear();
    if (stored.handed_over) {
        for (const unreported_runner& each : stored.handed_over->runners) {
            in_row.insert(each.runner);
        }
    }
    for (auto& [id, r] : c.s.scheduler.runners) {
        if (!r.is_handed_over || in_row.contains(id)) {
            continue;
        }
        r.is_handed_over = false;
        r.last_offer.reset();
        r.next_hold_at = std::min(r.next_hold_at, c.now);
        c.s.scheduler.placement_due = true;
        c.wake_by(c.now);
    }
}

void update_handover(const context& c, const runner_record& r)
{
    if (r.is_handed_over == is_unreported(r, false)) {
        return;
    }
    lease_state& l = c.s.lease;
    const millis interval =
        r.is_responsive ? config::renewal_after_find : config::renewal_after_loss;
    l.handover_due = std::min(l.handover_due, l.renewal_sent_at + interval);
    if (!l.renewal_in_flight) {
        c.wake_by(std::max(l.handover_due, l.retry_at));
    }
}

void begin_recovery(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    const lease_state& l = c.s.lease;
    s.recovering = true;
    for (auto& [id, r] : s.runners) {
        r.may_run_unreported = r.stored;
        r.leases_expire_by = l.predecessor_seen_at + l.predecessor.leases_end_within;
    }
    for (const unreported_runner& each : l.predecessor.runners) {
        mark_handed_over(c, each);
    }
    c.log("recovery_begun",
          {{"term", absl::StrCat(l.term.value)},
           {"runners", absl::StrCat(s.runners.size())},
           {"handed_over", absl::StrCat(l.predecessor.runners.size())},
           {"leases_end_ms", absl::StrCat(time_until(c.now, l.predecessor_leases_end).count)}});
}

void end_recovery_if_complete(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    if (!s.recovering) {
        return;
    }
    bool all_answered = s.register_known;
    bool has_unlisted_ends{false};
    for (auto& [id, r] : s.runners) {
        const bool has_expired = !r.is_responsive && c.s.lease.renewed_at > r.leases_expire_by;
        if (has_expired && !r.listed) {
            count_handed_over_crash(c, r);
        }
        r.may_run_unreported = r.may_run_unreported && !has_expired;
        has_unlisted_ends = has_unlisted_ends || (r.is_responsive && r.may_run_unreported);
        all_answered = all_answered && r.is_responsive;
    }
    unreported_runs unreported = find_unreported_runs(s);
    if (unreported != s.unreported) {
        s.unreported = std::move(unreported);
        s.placement_due = true;
    }
    const bool have_leases_ended = c.s.lease.renewed_at >= c.s.lease.predecessor_leases_end;
    if (has_unlisted_ends || (!all_answered && !have_leases_ended)) {
        return;
    }
    s.recovering = false;
    s.placement_due = true;
    c.log("recovery_ended", {{"runners", absl::StrCat(s.runners.size())},
                             {"all_answered", all_answered ? "true" : "false"}});
}

bool may_run_unreported(const context& c, const graph_task_id& id, const task_ref& ref)
{
    const scheduler_state& s = c.s.scheduler;
    if (!ref.job->recovered || !s.recovering || ref.task->is_reconciled) {
        return false;
    }
    // A task that has just crashed a runner would crash one under each holder before any of them
    // can tell. Services are missed soon, so they take that risk unless they are suspects.
    if (!ref.step->is_service || ref.task->crashes.is_suspect) {
        return true;
    }
    return s.unreported.any_task || s.unreported.tasks.contains(id);
}

} // namespace cuminmoor::central
