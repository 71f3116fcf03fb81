/// \file
/// The commit in progress: group commit, lease renewal, lease handover, and resolution of unknown
/// outcomes.
#include "absl/strings/str_cat.h"
#include "scheduler_parts.h"

namespace cuminmoor {

namespace {

std::string retry_counter(store_outcome outcome)
{
    return outcome == store_outcome::unknown ? "scheduler.commit_retry.unknown"
                                             : "scheduler.commit_retry.unavailable";
}

void resend_commit(context& c)
{
    auto& p = *c.s.scheduler.pending;
    p.token = c.s.scheduler.next_token++;
    p.phase = commit_phase::in_flight;
    ++p.tries;
    c.out.add(store_commit{{store_user::scheduler, p.token}, p.body});
}

void start_read_back(context& c)
{
    auto& s = c.s.scheduler;
    s.pending->phase = commit_phase::reading_back;
    s.pending->token = s.next_token++;
    c.out.add(store_read{
        {store_user::lease, s.pending->token}, {lease_key(c.s.self.failure_domain)}, {}});
}

/// Discards the pending commit, which certainly had no effect. Its decisions are made again.
void abandon_commit(context& c, const char* reason)
{
    auto& s = c.s.scheduler;
    c.s.counters.add(absl::StrCat("scheduler.commit_abandoned.", reason));
    s.pending.reset();
    if (s.lease.role == lease_role::acquiring) {
        s.lease.role = lease_role::observer;
        return;
    }
    s.inbox.rows.clear();
    s.inbox.next_scan = c.now;
    for (const auto& [id, worker] : s.workers) {
        s.unreconciled_workers.insert(id);
    }
}

void become_holder(context& c)
{
    auto& s = c.s.scheduler;
    s.lease.role = lease_role::holder;
    s.recovered = false;
    s.recovery = {};
    c.s.counters.add("scheduler.lease_acquired");
}

void sync_assigned_workers(context& c, const std::vector<ledger_record>& records)
{
    for (const auto& record : records) {
        if (const auto* const assigned = std::get_if<task_assigned>(&record)) {
            request_sync(c, assigned->worker);
        }
    }
}

void complete_commit(context& c, row_version version)
{
    auto& s = c.s.scheduler;
    const pending_commit done = *std::exchange(s.pending, std::nullopt);
    s.store_failures = 0;
    s.lease.seen = done.next;
    s.lease.seen_version = version;
    s.lease.valid_until = done.sent_at + config::lease_length;
    s.lease.read_at = c.now;
    if (s.lease.role == lease_role::acquiring) {
        become_holder(c);
        return;
    }
    if (done.next.released) {
        step_down(c, "handed_over");
        return;
    }
    clear_due_summaries(s, done.summarized);
    if (!done.records.empty()) {
        apply_records(c, s.job_ledger, done.records);
        s.job_ledger.applied = done.next.last;
        sync_assigned_workers(c, done.records);
    }
    if (done.consumes_inbox_rows) {
        ++s.inbox.generation;
        s.inbox.rows.clear();
        s.inbox.next_scan = c.now;
    }
    s.checkpoint.published = std::max(s.checkpoint.published, done.checkpoint);
    s.checkpoint.trimmed = std::max(s.checkpoint.trimmed, done.trimmed_to);
}

void schedule_retry(context& c)
{
    auto& p = *c.s.scheduler.pending;
    p.phase = commit_phase::backing_off;
    p.retry_at = c.now + backoff_delay(c, p.tries);
}

bool is_renewal_due(const context& c)
{
    const auto& s = c.s.scheduler;
    return c.now >= s.lease.valid_until - config::lease_length + config::lease_renewal;
}

commit_draft make_draft(context& c)
{
    commit_draft d;
    if (!c.s.scheduler.recovered || !is_lease_valid(c)) {
        return d;
    }
    collect_attempt_ends(c, d);
    collect_inbox(c, d);
    collect_services(c, d);
    collect_drain(c, d);
    collect_placement(c, d);
    collect_summaries(c, d);
    collect_checkpoint(c, d);
    return d;
}

pending_commit make_commit(context& c, commit_draft d)
{
    pending_commit commit;
    commit.next = c.s.scheduler.lease.seen;
    commit.records = std::move(d.records);
    commit.body = std::move(d.extra);
    commit.consumes_inbox_rows = d.consumes_inbox_rows;
    commit.checkpoint = d.checkpoint;
    commit.trimmed_to = d.trimmed_to;
    commit.summarized = std::move(d.summarized);
    if (!commit.records.empty()) {
        ++commit.next.last.value;
        std::string text = encode_records(commit.records);
        c.s.scheduler.checkpoint.log_bytes += text.size();
        commit.body.writes.push_back(
            {log_key(c.s.self.failure_domain, commit.next.last), std::move(text)});
    }
    if (d.has_assignments && c.s.scheduler.switches.config_precondition) {
        commit.body.preconditions.push_back({config_head_key, c.s.configuration.head_row_version});
    }
    return commit;
}

void send_next_commit(context& c)
{
    auto& s = c.s.scheduler;
    if (s.lease.role != lease_role::holder || c.now < s.next_commit) {
        return;
    }
    if (c.s.stopping) {
        pending_commit commit = make_commit(c, {});
        commit.next.released = true;
        send_commit(c, std::move(commit));
        return;
    }
    commit_draft d = make_draft(c);
    if (!d.is_empty() || is_renewal_due(c)) {
        send_commit(c, make_commit(c, std::move(d)));
    }
}

/// \return true if this process is stopping, its lease has expired and the store is unreachable. It
/// then gives up the lease without a handover.
bool has_lapsed_while_stopping(const context& c)
{
    return c.s.stopping && c.s.scheduler.lease.role != lease_role::observer &&
           c.now >= c.s.scheduler.lease.valid_until && c.s.scheduler.store_failures > 0;
}

} // namespace

millis backoff_delay(context& c, std::uint32_t tries)
{
    const std::int64_t doubled = config::store_retry_base.count << std::min(tries, 10U);
    const std::int64_t bound = std::min(doubled, config::store_retry_cap.count);
    return {bound / 2 +
            static_cast<std::int64_t>(jitter(c.s, static_cast<std::uint64_t>(bound / 2 + 1)))};
}

void send_commit(context& c, pending_commit commit)
{
    auto& s = c.s.scheduler;
    const std::string key = lease_key(c.s.self.failure_domain);
    commit.next.written_by = next_nonce(c);
    if (s.switches.fencing) {
        commit.body.preconditions.push_back({key, s.lease.seen_version});
    }
    commit.body.writes.push_back({key, encode_lease(commit.next)});
    commit.token = s.next_token++;
    commit.sent_at = c.now;
    s.next_commit = c.now + config::commit_period;
    c.out.add(store_commit{{store_user::scheduler, commit.token}, commit.body});
    s.pending = std::move(commit);
}

void drive_commit(context& c)
{
    auto& s = c.s.scheduler;
    if (has_lapsed_while_stopping(c)) {
        step_down(c, "lapsed_while_stopping");
        return;
    }
    if (!s.pending) {
        send_next_commit(c);
        return;
    }
    if (s.pending->phase != commit_phase::backing_off || c.now < s.pending->retry_at) {
        return;
    }
    resend_commit(c);
}

void on_commit_answer(context& c, const store_committed& e)
{
    auto& s = c.s.scheduler;
    if (!s.pending || e.token.number != s.pending->token) {
        return;
    }
    if (e.outcome == store_outcome::ok) {
        complete_commit(c, e.revision);
        return;
    }
    if (e.outcome == store_outcome::conflict) {
        start_read_back(c);
        return;
    }
    c.s.counters.add(retry_counter(e.outcome));
    s.next_commit = c.now + backoff_delay(c, s.store_failures++);
    if (e.outcome == store_outcome::unknown) {
        s.pending->maybe_applied = true;
    }
    if (!s.pending->maybe_applied) {
        abandon_commit(c, "not_applied");
        return;
    }
    schedule_retry(c);
}

void on_read_back(context& c, const store_read_done& e)
{
    auto& s = c.s.scheduler;
    if (!s.pending || s.pending->phase != commit_phase::reading_back ||
        e.token.number != s.pending->token) {
        return;
    }
    if (!e.ok) {
        c.s.counters.add("scheduler.commit_retry.read_back_failed");
        schedule_retry(c);
        return;
    }
    if (e.rows.empty()) {
        step_down(c, "row_missing");
        return;
    }
    const auto& found = e.rows.front();
    const auto row = decode_lease(found.value);
    if (!s.switches.read_back && row.ok() && row->holder == c.s.self.vm) {
        s.lease.seen = *row;
        s.lease.seen_version = found.version;
        abandon_commit(c, "not_read_back");
        return;
    }
    if (row.ok() && row->written_by == s.pending->next.written_by) {
        c.s.counters.add("scheduler.commit_found_by_read_back");
        complete_commit(c, found.version);
    }
    else if (found.version == s.lease.seen_version) {
        c.s.configuration.next_poll = c.now;
        abandon_commit(c, "precondition");
    }
    else {
        step_down(c, "fenced_off");
    }
}

} // namespace cuminmoor
