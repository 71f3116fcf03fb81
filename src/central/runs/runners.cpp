/// \file
/// Runners: holds (long polls that renew leases and return reports), lease expiry and the end of
/// recovery after a takeover.
#include "central/lease/handover.h"
#include "central/runs/run_parts.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

/// \return the latest time on the local clock at which a lease until `until` on the runner's clock
/// expires, assuming the slowest permitted runner clock.
instant expires_by(const clock_sample& sample, remote_instant until)
{
    const std::int64_t left = std::max<std::int64_t>(0, until.ms - sample.shown.ms);
    return sample.seen_at + millis{left * 100 / config::slow_clock_percent} +
           config::lease_expiry_margin;
}

/// \return how long the runner may keep a hold open.
millis wait_for_end(const context& c, const runner_record& r)
{
    if (!hosts_services_and_leftover(r)) {
        return config::hold_wait;
    }
    if (r.is_disturbed || r.is_paused) {
        return config::disturbed_runner_hold_wait;
    }
    return c.s.self.options.service_headroom ? config::headroom_hold_wait
                                             : config::shared_runner_hold_wait;
}

/// \return the latest time at which the state in a report can have been current. On the runner's
/// clock, a delayed report is only as much newer than the one before as it really is.
instant report_shown_at(const context& c, const runner_record& r, remote_instant clock)
{
    if (!r.report_clock || clock < r.report_clock->shown) {
        return c.now;
    }
    const millis passed{clock.ms - r.report_clock->shown.ms};
    return std::min(c.now, r.report_clock->seen_at + passed * 100 / config::slow_clock_percent);
}

/// \return the earliest time at which a report of the known incarnation can have been made: after
/// its request, and as much later than the report before as the runner's clock shows, which may be
/// slow but not fast.
instant report_made_at(const runner_record& r, remote_instant clock)
{
    if (!r.report_clock || clock < r.report_clock->shown) {
        return r.hold_sent_at;
    }
    const millis passed{clock.ms - r.report_clock->shown.ms};
    return std::max(r.hold_sent_at, r.report_made_at + passed);
}

/// \return true if a row that releases the lease was sent: it says that no more leases are granted.
bool may_be_released(const lease_state& l)
{
    return l.releasing && l.release_in_flight;
}

void send_hold(const context& c, runner_record& r)
{
    const bool waits_for_store = r.acknowledged < r.last_processed_end;
    const bool has_current_clock = r.clock.has_value() && r.is_responsive;
    const bool is_short = waits_for_store || !has_current_clock || !may_grant_leases(c, r);
    const millis wait = is_short ? millis{0} : wait_for_end(c, r);
    // After a failed hold, only ask for a report. Extending leases would postpone their computed
    // expiry although the runner may be gone, and a restarted runner numbers its ends from 1 again,
    // so an old acknowledgement would match new ends.
    const bool may_extend = has_current_clock && may_send_orders(c) &&
                            !may_be_released(c.s.lease) && may_grant_leases(c, r);
    const auto until = may_extend ? grant_lease(c, r) : std::nullopt;
    const bool is_new_acknowledgement =
        has_current_clock && r.acknowledged > r.acknowledgement_delivered;
    r.acknowledgement_sent = is_new_acknowledgement ? r.acknowledged : 0;
    r.hold_in_flight = true;
    r.hold_sent_at = c.now;
    r.report_due_at = c.now + wait;
    r.hold_times_out_at = r.report_due_at + config::runner_timeout;
    ++r.holds_sent;
    c.add(runner_hold{r.entry.id, r.entry.address, c.s.lease.term, until, r.acknowledgement_sent,
                      wait, wait + config::runner_timeout, r.hold_was_unanswered});
}

/// \return the time by which leases have expired that earlier holders granted on the runner, which
/// refuses their orders from now on.
instant earlier_leases_end(const context& c)
{
    const instant longest_foreign = c.now + longest_foreign_lease(c.s);
    const instant foreign = std::min(c.s.lease.foreign_leases_end, longest_foreign);
    return std::max(c.now + longest_lease(c.s), foreign);
}

void log_restart(const context& c, const runner_record& r, const runner_hold_ended& report)
{
    c.log("runner_restarted",
          {{"runner", r.entry.id.value},
           {"started_at", absl::StrCat(report.started_at_ms)},
           {"started_before", absl::StrCat(r.entry.started_at_ms)},
           {"clock_ms", absl::StrCat(report.clock.ms)},
           {"runs_known", absl::StrCat(r.runs.size())},
           {"runs_reported", absl::StrCat(report.running.size())},
           {"ends_reported", absl::StrCat(report.ended.size())},
           {"acknowledged", absl::StrCat(r.acknowledgement_delivered)},
           {"clock_before", absl::StrCat(r.last_alive.shown.ms)},
           {"over_kept_connection", report.was_bare ? "false" : "true"},
           {"leases_end_ms", absl::StrCat((r.leases_expire_by - c.now).count)}});
}

/// Resets the per-incarnation state of a runner that restarted under the same id.
void begin_incarnation(const context& c, runner_record& r, const runner_hold_ended& report)
{
    log_restart(c, r, report);
    r.entry.started_at_ms = report.started_at_ms;
    drop_unreported_runs(c, r, report);
    r.last_processed_end = 0;
    r.acknowledged = 0;
    r.acknowledgement_delivered = 0;
    r.acknowledgement_sent = 0;
    r.last_processed_end_change = 0;
    r.antagonist_pace = full_pace;
    r.benign_pace = full_pace;
    r.report_clock.reset();
    r.is_disturbed = false;
    r.is_paused = false;
    r.leases_expire_by = earlier_leases_end(c);
}

void on_hold_failed(const context& c, runner_record& r, order_result result)
{
    ++r.holds_failed;
    r.hold_was_unanswered = result == order_result::unknown;
    r.failed_hold_sent_at = r.hold_sent_at;
    if (r.is_responsive) {
        log_runner(c, "runner_lost", r,
                   result == order_result::other_incarnation ? "other incarnation" : "");
        record_runner_loss(c, r);
    }
    else if (r.holds_failed == 1 && r.has_unreported_runs) {
        const millis left = std::max(millis{0}, r.leases_expire_by - c.now);
        log_runner(c, "recovery_waits", r, absl::StrCat("leases end within ", left.count, " ms"));
    }
    r.is_responsive = false;
    update_handover(c, r);
    if (result == order_result::other_incarnation) {
        mark_all_runs_lost(c, r, loss_evidence::other_incarnation);
        // Before it answered, which shows that nothing of the runner is left to be asked.
        r.leases_expire_by = r.hold_sent_at;
    }
    const millis backoff = config::hold_retry * std::min<std::int64_t>(r.holds_failed, 5);
    r.next_hold_at = c.now + std::min(backoff, config::max_hold_retry);
    c.wake_by(r.next_hold_at);
}

void process_hold_report(const context& c, runner_record& r, const runner_hold_ended& e)
{
    const bool other_incarnation = r.entry.started_at_ms != 0 && e.started_at_ms != 0 &&
                                   r.entry.started_at_ms != e.started_at_ms;
    if (other_incarnation) {
        if (r.is_responsive) {
            record_runner_loss(c, r);
        }
        begin_incarnation(c, r, e);
    }
    r.report_made_at = report_made_at(r, e.clock);
    r.last_alive = clock_sample{e.clock, c.now};
    if (e.started_at_ms != 0) {
        r.entry.started_at_ms = e.started_at_ms;
    }
    r.clock = clock_sample{e.clock, c.now};
    if (!e.was_bare) {
        r.acknowledgement_delivered = std::max(r.acknowledgement_delivered, r.acknowledgement_sent);
    }
    if (!r.is_fenced) {
        // The runner rejects orders of earlier terms from now on, so earlier holders can extend no
        // lease on it.
        r.is_fenced = true;
        r.leases_expire_by = earlier_leases_end(c);
    }
    if (!r.is_responsive) {
        log_runner(c, "runner_found", r, absl::StrCat("runs reported ", e.running.size()));
    }
    r.is_responsive = true;
    r.is_overdue = false;
    update_handover(c, r);
    r.holds_failed = 0;
    r.hold_was_unanswered = false;
    r.has_unanswered_order = false;
    for (const reported_end& end : e.ended) {
        if (end.number > r.last_processed_end) {
            process_reported_end(c, r, end);
            r.last_processed_end = end.number;
        }
    }
    r.has_unreported_runs = r.has_unreported_runs && e.has_more_ends;
    // From now on this holder starts runs there that the holder before did not know.
    r.told_by_predecessor.reset();
    process_reported_runs(c, r, e);
    learn_disturbance(c, r);
    update_expected_disturbance(c, r);
    const instant shown_at = report_shown_at(c, r, e.clock);
    r.report_clock = clock_sample{e.clock, shown_at};
    observe_latency(c, r, shown_at);
    pace_runner(c, r);
    if (r.entry.draining) {
        evict_from_draining_runner(c, r);
    }
    c.s.scheduler.placement_due = true;
}

/// Acknowledges all processed ends once the changes they caused, if any, are stored.
void update_acknowledged(const context& c, runner_record& r)
{
    if (r.last_processed_end_change <= c.s.scheduler.commits.stored_change) {
        r.acknowledged = r.last_processed_end;
    }
}

void send_hold_if_due(const context& c, runner_record& r)
{
    if (r.hold_in_flight) {
        return;
    }
    if (c.now < r.next_hold_at) {
        c.wake_by(r.next_hold_at);
        return;
    }
    send_hold(c, r);
}

/// \return when to send the next hold after one that was answered. What it waits for sends it
/// earlier: the store has the consequences of the reported ends, or a row that does not name the
/// runner.
instant next_hold_time(const context& c, const runner_record& r)
{
    if (r.acknowledged < r.last_processed_end) {
        return c.now + config::unstored_hold_interval;
    }
    return may_grant_leases(c, r) ? c.now : c.now + config::max_hold_retry;
}

/// Makes the runner available to placement again once its probation has ended.
void end_probation_when_due(const context& c, runner_record& r)
{
    if (!r.probation_until) {
        return;
    }
    if (c.now < *r.probation_until) {
        c.wake_by(*r.probation_until);
        return;
    }
    r.probation_until.reset();
    c.s.scheduler.placement_due = true;
}

/// Marks the runs of an unresponsive runner as lost after their leases have expired.
///
/// A successor may have extended the leases, but not before this VM sent the last successful
/// renewal of its own lease. That time must therefore be later than the expiry.
void drop_runs_with_expired_leases(const context& c, runner_record& r)
{
    if (r.is_responsive || r.runs.empty() || r.holds_failed == 0) {
        return;
    }
    if (c.s.lease.renewed_at <= r.leases_expire_by) {
        renew_after_expiry(c, r);
    }
    else if (is_given_up(r)) {
        mark_all_runs_lost(c, r, loss_evidence::leases_expired);
    }
    else {
        mark_services_lost(c, r);
    }
}

/// Marks a runner whose report is overdue, so that a successor is told of it before the hold is
/// given up.
void mark_if_overdue(const context& c, runner_record& r)
{
    const bool is_due = r.is_responsive && r.hold_in_flight &&
                        c.now > r.report_due_at + config::report_overdue_time;
    if (is_due && !r.is_overdue) {
        r.is_overdue = true;
        log_runner(c, "runner_overdue", r, "");
        update_handover(c, r);
    }
}

/// Draws conclusions from the silence of a runner. None of its reports may wait to be read.
void check_silence(const context& c, runner_record& r, bool is_late)
{
    drop_runs_with_expired_leases(c, r);
    if (!is_late) {
        mark_if_overdue(c, r);
    }
    pause_if_reports_are_overdue(c, r);
}

/// \return true if the runner is unlisted, unresponsive and without runs: either it has reported
/// its runs in this term and all of them ended, or all leases have expired.
bool can_remove_runner(const runner_record& r, instant renewed_at)
{
    const bool is_gone = !r.listed && !r.is_responsive && r.holds_failed > 0 && !r.hold_in_flight;
    const bool is_known_empty = r.is_fenced && r.orphans.empty();
    return is_gone && r.runs.empty() && (is_known_empty || renewed_at > r.leases_expire_by);
}

} // namespace

void log_runner(const context& c, const char* name, const runner_record& r,
                const std::string& detail)
{
    c.log(name, {{"runner", r.entry.id.value},
                 {"failure_domain", r.entry.failure_domain.value},
                 {"listed", r.listed ? "true" : "false"},
                 {"draining", r.entry.draining ? "true" : "false"},
                 {"runs", absl::StrCat(r.runs.size())},
                 {"detail", detail}});
}

bool is_given_up(const runner_record& r)
{
    return !r.listed || r.failed_hold_sent_at >= r.leases_expire_by;
}

millis lease_length(const central_state& s)
{
    return std::min(s.self.max_hold, config::run_lease);
}

millis longest_lease(const central_state& s)
{
    return lease_length(s) * 100 / config::slow_clock_percent + config::lease_expiry_margin;
}

millis longest_foreign_lease(const central_state& s)
{
    return s.self.max_hold * 100 / config::slow_clock_percent + config::lease_expiry_margin;
}

std::optional<remote_instant> grant_lease(const context& c, runner_record& r)
{
    if (!r.clock) {
        return std::nullopt;
    }
    const millis since = c.now - r.clock->seen_at;
    const remote_instant until = r.clock->shown + since + lease_length(c.s);
    r.leases_expire_by = std::max(r.leases_expire_by, expires_by(*r.clock, until));
    return until;
}

void on_hold_ended(const context& c, const runner_hold_ended& e)
{
    scheduler_state& s = c.s.scheduler;
    const auto found = s.runners.find(e.runner);
    if (found == s.runners.end() || e.term != c.s.lease.term) {
        // The hold was sent in an earlier term: another scheduler may have given orders to the
        // runner since.
        return;
    }
    runner_record& r = found->second;
    r.hold_in_flight = false;
    if (c.s.lease.current_role != role::scheduler) {
        // The report cannot be processed before the jobs are loaded.
        r.next_hold_at = c.now + config::hold_retry;
        return;
    }
    if (e.result == order_result::fenced) {
        step_down(c, "a runner has seen a higher term");
        return;
    }
    if (e.result != order_result::done) {
        on_hold_failed(c, r, e.result);
        return;
    }
    process_hold_report(c, r, e);
    update_acknowledged(c, r);
    r.next_hold_at = next_hold_time(c, r);
    send_hold_if_due(c, r);
}

void acknowledge_stored_ends(const context& c)
{
    for (auto& [id, r] : c.s.scheduler.runners) {
        if (r.acknowledged < r.last_processed_end) {
            update_acknowledged(c, r);
            if (r.acknowledged == r.last_processed_end) {
                r.next_hold_at = c.now;
                send_hold_if_due(c, r);
            }
        }
    }
}

void check_runners(const context& c, const std::set<runner_id>& unread_reports)
{
    if (!c.is_scheduler()) {
        return;
    }
    repeat_unconfirmed_stops(c);
    const instant last_check = std::exchange(c.s.scheduler.runners_checked_at, c.now);
    // After a pause of this process, reports may be waiting that it has not read.
    const bool is_late = c.now - last_check > config::max_check_delay;
    auto& runners = c.s.scheduler.runners;
    for (auto it = runners.begin(); it != runners.end();) {
        runner_record& r = it->second;
        if (!unread_reports.contains(it->first)) {
            check_silence(c, r, is_late);
        }
        end_probation_when_due(c, r);
        if (!c.s.scheduler.recovering && can_remove_runner(r, c.s.lease.renewed_at)) {
            log_runner(c, "runner_forgotten", r, "");
            if (r.stored) {
                c.s.scheduler.commits.runners_to_remove.push_back(it->first);
            }
            give_up_reservation(c, it->second, "runner_removed");
            it = runners.erase(it);
            continue;
        }
        send_hold_if_due(c, r);
        ++it;
    }
    end_recovery_if_complete(c, unread_reports);
}

} // namespace cuminmoor::central
