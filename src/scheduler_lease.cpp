/// \file
/// Observing, acquiring and losing the scheduler lease of this failure domain.
#include "absl/strings/str_cat.h"
#include "scheduler_parts.h"

namespace cuminmoor {

instant lease_decision_end(const scheduler_state& s)
{
    return s.lease.valid_until - config::lease_margin;
}

bool is_lease_valid(const context& c)
{
    const auto& s = c.s.scheduler;
    // Once the handover is sent, another process may acquire the lease before the answer arrives.
    const bool is_handing_over = s.pending && s.pending->next.released;
    return s.lease.role == lease_role::holder && !is_handing_over && c.now < lease_decision_end(s);
}

nonce next_nonce(context& c)
{
    return {absl::StrCat(c.s.self.vm.value, "-", c.s.self.incarnation, "-",
                         c.s.scheduler.next_nonce++)};
}

void poll_lease(context& c)
{
    auto& lease = c.s.scheduler.lease;
    if (lease.role != lease_role::observer || lease.read_token != 0 || c.now < lease.next_poll) {
        return;
    }
    lease.read_token = c.s.scheduler.next_token++;
    c.out.add(store_read{
        {store_user::lease, lease.read_token}, {lease_key(c.s.self.failure_domain)}, {}});
}

namespace {

void schedule_poll(context& c)
{
    const auto period = config::lease_renewal.count;
    const auto extra = static_cast<std::int64_t>(jitter(c.s, config::lease_renewal.count / 2));
    c.s.scheduler.lease.next_poll = c.now + millis{period * 3 / 4 + extra};
}

/// Records the lease row. The row counts as unchanged since the arrival of the first answer that
/// contained it. This is safe, as its writer's term began earlier.
void update_observed_row(context& c, const store_read_done& e)
{
    auto& lease = c.s.scheduler.lease;
    lease.read_at = c.now;
    const row_version version = e.rows.empty() ? 0 : e.rows.front().version;
    if (lease.has_read && version == lease.seen_version) {
        return;
    }
    lease_row seen;
    if (!e.rows.empty()) {
        const auto decoded = decode_lease(e.rows.front().value);
        if (!decoded.ok()) {
            c.s.counters.add("scheduler.lease_row_malformed");
            return;
        }
        seen = *decoded;
    }
    lease.has_read = true;
    lease.seen = seen;
    lease.seen_version = version;
    lease.unchanged_since = c.now;
}

bool is_lease_available(const context& c)
{
    const auto& lease = c.s.scheduler.lease;
    return lease.seen_version == 0 || lease.seen.released ||
           c.now - lease.unchanged_since >= config::lease_length;
}

} // namespace

void on_lease_read(context& c, const store_read_done& e)
{
    auto& lease = c.s.scheduler.lease;
    if (lease.role != lease_role::observer || e.token.number != lease.read_token) {
        return;
    }
    lease.read_token = 0;
    schedule_poll(c);
    if (!e.ok) {
        c.s.counters.add("scheduler.lease_read_failed");
        return;
    }
    update_observed_row(c, e);
    try_acquire_lease(c);
}

void try_acquire_lease(context& c)
{
    auto& s = c.s.scheduler;
    if (c.s.stopping || !s.lease.has_read || s.pending || !is_lease_available(c)) {
        return;
    }
    s.lease.role = lease_role::acquiring;
    pending_commit commit;
    commit.next = s.lease.seen;
    commit.next.holder = c.s.self.vm;
    ++commit.next.epoch.value;
    commit.next.released = false;
    c.s.counters.add("scheduler.lease_attempt");
    send_commit(c, std::move(commit));
}

void step_down(context& c, const char* reason)
{
    c.s.counters.add(absl::StrCat("scheduler.lease_ended.", reason));
    scheduler_state fresh;
    auto& old = c.s.scheduler;
    fresh.switches = old.switches;
    fresh.next_token = old.next_token;
    fresh.next_nonce = old.next_nonce;
    fresh.next_move_target = old.next_move_target;
    fresh.lease.read_at = old.lease.read_at;
    fresh.lease.next_poll =
        c.now + millis{static_cast<std::int64_t>(jitter(c.s, config::lease_renewal.count))};
    old = std::move(fresh);
    refresh_workers(c);
}

} // namespace cuminmoor
