/// \file
/// Recovery after a takeover: which tasks may have runs of earlier terms that no runner has
/// reported.
///
/// Only used runners have such runs. One that answers reports them. One that does not may run the
/// services that were placed there, and any other task; these wait until all leases there have
/// expired. A holder of the lease grants none on the runners that its row names, nor on any runner
/// before its first row that says so. For these, its successor waits no longer than is left of the
/// holder's own wait.
#include "central/lease/handover.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "central/runs/run_parts.h"

namespace cuminmoor::central {

namespace {

millis time_until(instant now, instant end)
{
    return std::max(millis{0}, end - now);
}

/// See `unreported_runner::suspects`.
void drop_suspects(handover& h)
{
    for (unreported_runner& each : h.runners) {
        each.suspects.clear();
    }
}

/// \return the handover of the holder before, with the times counted from now.
handover predecessors_handover(const context& c)
{
    const lease_state& l = c.s.lease;
    handover h = l.predecessor;
    for (unreported_runner& each : h.runners) {
        each.leases_end_within = time_until(c.now, l.predecessor_seen_at + each.leases_end_within);
    }
    h.earlier_leases_end_within = time_until(c.now, l.predecessor_leases_end);
    h.may_grant = false;
    return h;
}

/// \return true if the successor is told of the runner. It is told of an overdue one, too: the
/// store may be away when its silence is certain.
bool is_unreported(const runner_record& r)
{
    return r.stored && (!r.is_responsive || r.is_overdue);
}

unreported_runner unreported_runner_of(const context& c, const runner_record& r)
{
    unreported_runner u;
    if (!r.has_unreported_runs) {
        add_suspects(c, r, u);
    }
    else if (r.told_by_predecessor) {
        u = *r.told_by_predecessor;
    }
    u.runner = r.entry.id;
    u.leases_end_within = time_until(c.now, r.leases_expire_by);
    return u;
}

handover own_handover(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    const bool is_all_stored = s.commits.stored_change == s.commits.last_change;
    s.places_known = s.places_known || (!s.recovering && is_all_stored);
    handover h;
    for (const auto& [id, r] : s.runners) {
        if (is_unreported(r)) {
            h.runners.push_back(unreported_runner_of(c, r));
        }
    }
    h.earlier_leases_end_within =
        s.recovering ? time_until(c.now, c.s.lease.predecessor_leases_end) : millis{0};
    h.may_grant = true;
    h.places_known = s.places_known;
    return h;
}

std::set<runner_id> runners_of(const lease_row& row)
{
    std::set<runner_id> ids;
    if (row.handed_over) {
        for (const unreported_runner& each : row.handed_over->runners) {
            ids.insert(each.runner);
        }
    }
    return ids;
}

void log_recovery_begun(const context& c)
{
    const lease_state& l = c.s.lease;
    c.log("recovery_begun",
          {{"term", absl::StrCat(l.term.value)},
           {"runners", absl::StrCat(c.s.scheduler.runners.size())},
           {"handed_over", absl::StrCat(l.predecessor.runners.size())},
           {"places_known", l.predecessor.places_known ? "true" : "false"},
           {"leases_end_ms", absl::StrCat(time_until(c.now, l.predecessor_leases_end).count)}});
}

/// Renews the lease at this time, unless it is renewed before.
void renew_early(const context& c, instant at)
{
    lease_state& l = c.s.lease;
    l.early_renewal_at = std::min(l.early_renewal_at, at);
    if (!l.renewal_in_flight) {
        c.wake_by(std::max(l.early_renewal_at, l.retry_at));
    }
}

/// \return true if the runner has not answered this holder, so that it may list ends of runs that
/// earlier holders started.
bool may_have_unreported_ends(const runner_record& r)
{
    return r.stored && !r.is_fenced;
}

/// Updates whether a runner may have unreported runs.
/// \return true if it no longer has, as its leases have expired.
bool expire_unreported_runs(const context& c, runner_record& r)
{
    const bool has_expired = !r.is_responsive && c.s.lease.renewed_at > r.leases_expire_by;
    if (has_expired && !r.listed) {
        count_handed_over_crash(c, r);
    }
    const bool changes = has_expired && r.has_unreported_runs;
    r.has_unreported_runs = r.has_unreported_runs && !has_expired;
    return changes;
}

} // namespace

handover make_handover(const context& c, bool released)
{
    handover h = c.is_scheduler() ? own_handover(c) : predecessors_handover(c);
    if (!released) {
        drop_suspects(h);
    }
    return h;
}

void begin_handover(const context& c, const lease_row& row)
{
    c.s.lease.early_renewal_at = never;
    c.s.lease.runners_in_row.merge(runners_of(row));
}

void end_old_handovers(const context& c, const lease_row& stored)
{
    lease_state& l = c.s.lease;
    const bool may_grant = stored.handed_over && stored.handed_over->may_grant;
    const bool might_grant = std::exchange(l.may_grant, may_grant);
    const std::set<runner_id> before = std::exchange(l.runners_in_row, runners_of(stored));
    for (auto& [id, r] : c.s.scheduler.runners) {
        const bool was_usable = might_grant && !before.contains(id);
        if (was_usable || !may_grant_leases(c, r)) {
            continue;
        }
        r.offer_again();
        r.next_hold_at = std::min(r.next_hold_at, c.now);
        c.s.scheduler.placement_due = true;
        c.wake_by(c.now);
    }
}

bool may_grant_leases(const context& c, const runner_record& r)
{
    return c.s.lease.may_grant && !c.s.lease.runners_in_row.contains(r.entry.id);
}

void update_handover(const context& c, const runner_record& r)
{
    lease_state& l = c.s.lease;
    const bool is_told = is_unreported(r);
    if (l.runners_in_row.contains(r.entry.id) == is_told) {
        return;
    }
    const millis interval = is_told ? config::renewal_after_loss : config::renewal_after_find;
    renew_early(c, l.renewal_sent_at + interval);
}

void renew_after_expiry(const context& c, const runner_record& r)
{
    const instant expired_at = r.leases_expire_by + millis{1};
    const instant earliest = c.s.lease.renewal_sent_at + config::renewal_after_find;
    renew_early(c, std::max(expired_at, earliest));
}

void begin_recovery(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    lease_state& l = c.s.lease;
    s.recovering = true;
    s.places_known = l.predecessor.places_known;
    for (auto& [id, r] : s.runners) {
        r.has_unreported_runs = r.stored;
        r.leases_expire_by = l.predecessor_leases_end;
    }
    for (const unreported_runner& each : l.predecessor.runners) {
        if (runner_record* const r = find_runner(c, each.runner)) {
            r->leases_expire_by = l.predecessor_seen_at + each.leases_end_within;
            r->told_by_predecessor = each;
        }
    }
    c.wake_by(c.now);
    // The first row that names only the runners that do not answer. Most answer until then.
    l.retry_at = std::max(l.retry_at, c.now + config::renewal_after_find);
    renew_early(c, c.now);
    log_recovery_begun(c);
}

void end_recovery_if_complete(const context& c, const std::set<runner_id>& unread_reports)
{
    scheduler_state& s = c.s.scheduler;
    if (!s.recovering) {
        return;
    }
    bool all_answered = s.register_known;
    bool has_unlisted_ends{false};
    bool are_others_given_up{true};
    for (auto& [id, r] : s.runners) {
        if (r.has_unreported_runs && unread_reports.contains(id)) {
            has_unlisted_ends = true;
            continue;
        }
        s.placement_due = expire_unreported_runs(c, r) || s.placement_due;
        if (!r.is_responsive && r.has_unreported_runs) {
            renew_after_expiry(c, r);
        }
        has_unlisted_ends = has_unlisted_ends || (r.is_responsive && r.has_unreported_runs);
        all_answered = all_answered && r.is_responsive;
        are_others_given_up =
            are_others_given_up && (!may_have_unreported_ends(r) || is_given_up(r));
    }
    const bool have_leases_ended = c.s.lease.renewed_at >= c.s.lease.predecessor_leases_end;
    if (has_unlisted_ends || (!all_answered && !have_leases_ended)) {
        return;
    }
    s.services_recovered = true;
    s.placement_due = true;
    if (!all_answered && !are_others_given_up) {
        return;
    }
    s.recovering = false;
    c.log("recovery_ended", {{"runners", absl::StrCat(s.runners.size())},
                             {"all_answered", all_answered ? "true" : "false"}});
}

void reconcile(const context& c, const runner_record& r, const task_ref& ref)
{
    const instant last_earlier_order = c.s.lease.predecessor_leases_end - longest_lease(c.s);
    if (r.report_made_at >= last_earlier_order) {
        ref.task->is_reconciled = true;
    }
}

bool may_have_unreported_run(const context& c, const task_ref& ref)
{
    const scheduler_state& s = c.s.scheduler;
    if (!ref.job->recovered || !s.recovering || ref.task->is_reconciled) {
        return false;
    }
    if (!ref.step->is_service) {
        return true;
    }
    if (!s.places_known) {
        return !s.services_recovered;
    }
    const runner_record* const r = find_runner(c, ref.task->placed_on);
    return r != nullptr && r->has_unreported_runs;
}

} // namespace cuminmoor::central
