/// \file
/// Election of the scheduler by a lease. The lease is a row of the store. Its holder renews it;
/// another entry VM may claim it when it was released or the row has not changed for
/// `lease_length`.
#include "central/parts.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "central/lease/handover.h"
#include "central/lease/members.h"
#include "central/store/codec.h"

namespace cuminmoor::central {

namespace {

const table_key lease_key{table::control, "lease"};
const table_key head_key{table::head, "newest"};

bool is_held_by_this_process(const central_state& s)
{
    return s.lease.row && s.lease.row->holder == s.self.vm.value &&
           s.lease.row->incarnation == s.self.incarnation;
}

/// \return true if the holder is an earlier incarnation of this process; that one has certainly
/// ended.
bool is_held_by_previous_incarnation(const central_state& s)
{
    return s.lease.row && s.lease.row->holder == s.self.vm.value &&
           s.lease.row->incarnation != s.self.incarnation;
}

bool may_have_granted(const lease_row& row)
{
    return !row.handed_over || row.handed_over->may_grant;
}

/// \return the longest time for which leases of a holder are valid after its last renewal was seen:
/// it grants leases until it has not renewed its own for `max_time_without_renewal`.
millis longest_time_of_leases(const central_state& s)
{
    return config::max_time_without_renewal + longest_lease(s);
}

/// \return true if the holder in the row has certainly granted its last lease.
bool grants_no_more(const central_state& s)
{
    return is_held_by_previous_incarnation(s) || s.lease.row->released;
}

/// \return the time from `seen_at` until all leases that the holder in the row granted have
/// expired.
millis time_until_holders_leases_end(const central_state& s)
{
    const lease_state& l = s.lease;
    if (!l.row) {
        return longest_time_of_leases(s);
    }
    if (!may_have_granted(*l.row)) {
        return {};
    }
    return grants_no_more(s) ? longest_lease(s) : longest_time_of_leases(s);
}

/// \return the time from `seen_at` until leases have expired as
/// `lease_row::foreign_leases_end_within` says.
millis time_until_foreign_leases_end(const central_state& s)
{
    const lease_state& l = s.lease;
    if (!l.row) {
        return {};
    }
    const millis until_last_grant =
        grants_no_more(s) ? millis{0} : config::max_time_without_renewal;
    return l.row->foreign_leases_end_within.value_or(until_last_grant + longest_foreign_lease(s));
}

/// Lengthens the times that a process of an earlier version has handed over: it counted a foreign
/// lease as one of its own.
void add_foreign_leases(const central_state& s, const lease_row& row, handover& h)
{
    if (row.foreign_leases_end_within) {
        return;
    }
    for (unreported_runner& each : h.runners) {
        each.leases_end_within =
            each.leases_end_within + (longest_foreign_lease(s) - longest_lease(s));
    }
}

/// Keeps what the last row says about earlier holders: the feed may deliver this VM's own row,
/// which changes `seen_at`, before its claim is answered.
void remember_predecessor(const central_state& s, lease_state& l)
{
    l.predecessor_seen_at = l.seen_at;
    l.predecessor = {};
    // Without a row nothing has run yet.
    l.predecessor.places_known = !l.row;
    l.predecessor.earlier_leases_end_within = longest_time_of_leases(s);
    if (l.row && l.row->handed_over) {
        l.predecessor = *l.row->handed_over;
        add_foreign_leases(s, *l.row, l.predecessor);
    }
    const millis until_foreign_end = time_until_foreign_leases_end(s);
    l.foreign_leases_end = l.seen_at + until_foreign_end;
    const millis until_end = std::max({l.predecessor.earlier_leases_end_within,
                                       time_until_holders_leases_end(s), until_foreign_end});
    l.predecessor_leases_end = l.seen_at + until_end;
}

/// \return the jittered delay of this VM's claim; VMs with insufficient capacity wait longer, so
/// that larger ones win.
millis claim_delay(const central_state& s)
{
    const millis jitter = claim_jitter(s);
    return has_sufficient_capacity(s) ? jitter : config::small_vm_claim_delay + jitter;
}

/// \return the earliest time at which this VM may claim the lease.
instant claimable_at(const central_state& s)
{
    const lease_state& l = s.lease;
    // The second case includes a claim of this incarnation whose answer was lost. In both cases no
    // other VM can hold the lease. With insufficient capacity, a new incarnation waits like others.
    const bool is_restarted = is_held_by_previous_incarnation(s) && has_sufficient_capacity(s);
    if (is_restarted || (is_held_by_this_process(s) && !l.row->released)) {
        return l.seen_at;
    }
    if (!l.row || l.row->released) {
        return l.seen_at + claim_delay(s);
    }
    return l.seen_at + config::lease_length + claim_delay(s);
}

/// \return the time at which this VM may claim after the store has answered a read. A VM with
/// insufficient capacity gives larger ones time to retry what they sent while the store was silent.
instant claimable_after_answer(const context& c)
{
    lease_state& l = c.s.lease;
    const bool is_own = is_held_by_this_process(c.s) && !l.row->released;
    if (has_sufficient_capacity(c.s) || is_own) {
        return c.now;
    }
    l.head_answered_since = l.head_answered_since.value_or(c.now);
    return *l.head_answered_since + config::small_vm_claim_wait;
}

void begin_claim(const context& c)
{
    lease_state& l = c.s.lease;
    l.current_role = role::reading_head;
    l.retry_at = c.now + config::lease_length;
    c.log("lease_claim_begun", {{"row_version", absl::StrCat(l.version)},
                                {"row_age_ms", absl::StrCat((c.now - l.seen_at).count)},
                                {"holder", l.row ? l.row->holder : std::string{}},
                                {"released", l.row && l.row->released ? "true" : "false"}});
    c.add(rows_read{table::head, ""});
}

lease_row own_row(const central_state& s, term_number term, bool released)
{
    const bool recovered = s.lease.current_role == role::scheduler && !s.scheduler.recovering;
    return {
        s.self.vm.value, s.self.address, s.self.incarnation, term, released, recovered, {}, 0, {}};
}

/// Encodes the row that is about to be sent. Runners for which it has no room are left out, as if
/// this holder granted leases there.
std::string encode_fitting_lease(const context& c, lease_row& row)
{
    std::string encoded = encode_lease(row);
    auto& runners = row.handed_over->runners;
    const std::size_t known = runners.size();
    while (encoded.size() > config::max_row_bytes && !runners.empty()) {
        runners.resize(runners.size() / 2);
        encoded = encode_lease(row);
    }
    if (runners.size() < known) {
        c.log("handover_incomplete", {{"term", absl::StrCat(row.term.value)},
                                      {"runners", absl::StrCat(known)},
                                      {"kept", absl::StrCat(runners.size())}});
    }
    return encoded;
}

void send_lease(const context& c, rows_commit commit, bool released)
{
    lease_state& l = c.s.lease;
    commit.purpose = commit_purpose::lease;
    commit.preconditions.push_back({lease_key, l.version});
    l.row_in_flight = own_row(c.s, l.term, released);
    l.row_in_flight.handed_over = make_handover(c, released);
    l.row_in_flight.foreign_leases_end_within = std::max(millis{0}, l.foreign_leases_end - c.now);
    l.row_in_flight.number = ++l.last_commit;
    l.encoded_in_flight = encode_fitting_lease(c, l.row_in_flight);
    commit.changes.push_back({lease_key, l.encoded_in_flight});
    begin_handover(c, l.row_in_flight);
    commit.number = l.last_commit;
    l.renewal_in_flight = true;
    l.release_in_flight = released;
    l.renewal_sent_at = c.now;
    c.add(std::move(commit));
}

void become_follower(const context& c)
{
    c.s.lease.current_role = role::follower;
    c.s.lease.retry_at = c.now + config::lease_retry + claim_delay(c.s);
}

/// Adds how many VMs with sufficient capacity are known to live, and the first of them.
void add_larger_vms(const context& c, std::vector<log_field>& fields)
{
    constexpr std::size_t max_names{3};
    const std::vector<vm_id> live = larger_live_vms(c);
    std::string names;
    for (std::size_t i{0}; i < std::min(live.size(), max_names); ++i) {
        absl::StrAppend(&names, i > 0 ? "," : "", live[i].value);
    }
    fields.push_back({"larger_vms", absl::StrCat(live.size())});
    fields.push_back({"larger_vm_names", names});
}

void log_won(const context& c)
{
    const lease_state& l = c.s.lease;
    std::vector<log_field> fields{
        {"term", absl::StrCat(l.term.value)},
        {"row_version", absl::StrCat(l.version)},
        {"sufficient_capacity", has_sufficient_capacity(c.s) ? "true" : "false"}};
    add_larger_vms(c, fields);
    c.log("lease_won", std::move(fields));
}

void on_claim_committed(const context& c, const rows_committed& e)
{
    lease_state& l = c.s.lease;
    if (e.outcome != store_outcome::ok) {
        // The lease row shows the outcome. A claim that took effect although it was reported as
        // failed belongs to this incarnation, which claims the lease again or lets it expire.
        become_follower(c);
        return;
    }
    l.version = e.version;
    l.row = l.row_in_flight;
    end_old_handovers(c, *l.row);
    l.seen_at = c.now;
    l.renewed_at = l.renewal_sent_at;
    // `retry_at` was set to the timeout of the claim, which is as long as the lease and would delay
    // the first renewal.
    l.retry_at = c.now;
    l.won_at = c.now;
    l.won_version = e.version;
    c.s.scheduler.commits.head_version = e.version;
    l.current_role = role::loading;
    log_won(c);
    if (c.s.stopping) {
        begin_release(c);
        return;
    }
    begin_loading(c);
}

/// How a VM with sufficient capacity is known to live.
enum class handover_cause : std::uint8_t { larger_vm_reaches_store, larger_vm_forwards_calls };

const char* name_of(handover_cause cause)
{
    switch (cause) {
    case handover_cause::larger_vm_reaches_store:
        return "larger_vm_reaches_store";
    case handover_cause::larger_vm_forwards_calls:
        return "larger_vm_forwards_calls";
    }
    return "unknown";
}

/// \return why the holder should release the lease: its own capacity is insufficient and a VM with
/// sufficient capacity is alive. One that reaches the store can claim at once; for one that only
/// forwards calls it waits until the recovery of runs is complete.
std::optional<handover_cause> cause_of_handover(const context& c)
{
    const lease_state& l = c.s.lease;
    if (l.releasing || has_sufficient_capacity(c.s)) {
        return std::nullopt;
    }
    if (has_larger_vm_with_store(c)) {
        return handover_cause::larger_vm_reaches_store;
    }
    const bool has_settled = l.current_role == role::scheduler && !c.s.scheduler.recovering &&
                             c.now - l.won_at >= config::min_hold_before_handover;
    return has_settled && has_larger_live_peer(c)
               ? std::optional{handover_cause::larger_vm_forwards_calls}
               : std::nullopt;
}

void log_handover(const context& c, handover_cause cause)
{
    const lease_state& l = c.s.lease;
    std::vector<log_field> fields{{"term", absl::StrCat(l.term.value)},
                                  {"cause", name_of(cause)},
                                  {"held_ms", absl::StrCat((c.now - l.won_at).count)},
                                  {"role", name_of(l.current_role)},
                                  {"recovering", c.s.scheduler.recovering ? "true" : "false"},
                                  // Only one transaction with the lease's row is sent at a time.
                                  {"waits_for", l.renewal_in_flight ? "renewal" : "release"}};
    add_larger_vms(c, fields);
    c.log("lease_handover_begun", std::move(fields));
}

void renew_when_due(const context& c)
{
    lease_state& l = c.s.lease;
    const instant next = std::min(l.renewal_sent_at + config::lease_renewal, l.early_renewal_at);
    const instant due = std::max(next, l.retry_at);
    if (l.renewal_in_flight) {
        return;
    }
    if (c.now < due && !l.releasing) {
        c.wake_by(due);
        return;
    }
    if (l.releasing && c.now < l.retry_at) {
        return;
    }
    send_lease(c, {}, l.releasing);
}

void on_renewal_committed(const context& c, const rows_committed& e)
{
    lease_state& l = c.s.lease;
    if (e.outcome == store_outcome::ok) {
        l.version = e.version;
        l.seen_at = c.now;
        l.renewed_at = l.renewal_sent_at;
        l.row = l.row_in_flight;
        end_old_handovers(c, *l.row);
        if (l.release_in_flight) {
            step_down(c, c.s.stopping ? "released for a shutdown" : "released to another VM");
        }
        else if (l.releasing) {
            // This was an ordinary renewal, sent before the release was requested.
            l.retry_at = c.now;
            renew_when_due(c);
        }
        else {
            c.wake_by(l.early_renewal_at);
        }
        return;
    }
    l.retry_at = c.now + config::lease_retry;
    if (e.outcome == store_outcome::conflict && !is_held_by_this_process(c.s)) {
        step_down(c, "another VM holds the lease");
    }
}

/// Ends a renewal that has taken effect, as the store's feed shows. Its answer may be lost.
void on_renewal_shown(const context& c)
{
    lease_state& l = c.s.lease;
    l.renewal_in_flight = false;
    ++l.last_commit;
    rows_committed shown;
    shown.purpose = commit_purpose::lease;
    shown.outcome = store_outcome::ok;
    shown.version = l.version;
    on_renewal_committed(c, shown);
}

/// Releases a lease that this process holds by a claim whose answer was lost.
void release_unconfirmed_claim(const context& c)
{
    lease_state& l = c.s.lease;
    const bool holds_unconfirmed = l.current_role == role::follower &&
                                   is_held_by_this_process(c.s) && !l.row->released &&
                                   !may_have_granted(*l.row);
    if (holds_unconfirmed && !l.renewal_in_flight && c.now >= l.retry_at) {
        l.term = l.row->term;
        l.retry_at = c.now + config::lease_retry;
        send_lease(c, {}, true);
    }
}

} // namespace

bool may_send_orders(const context& c)
{
    const bool holds =
        c.s.lease.current_role == role::scheduler || c.s.lease.current_role == role::loading;
    return holds && c.now - c.s.lease.renewed_at < config::max_time_without_renewal;
}

void on_control_changed(const context& c, const control_changed& e)
{
    lease_state& l = c.s.lease;
    const bool is_first = !l.was_read;
    l.was_read = l.was_read || e.is_snapshot;
    const row_version known_version = l.version;
    bool shows_renewal{false};
    for (const table_row& r : e.rows) {
        on_capacity_row(c, r, is_first);
        if (r.key != lease_key.key || r.version <= l.version) {
            continue;
        }
        auto row = decode_lease(r.value);
        if (!row.ok()) {
            c.log("lease_unreadable", {{"reason", std::string{row.status().message()}}});
            continue;
        }
        shows_renewal = l.renewal_in_flight && r.value == l.encoded_in_flight;
        const bool new_holder = !l.row || l.row->term != row->term;
        l.row = *std::move(row);
        l.version = r.version;
        l.seen_at = c.now;
        l.head_answered_since.reset();
        if (new_holder) {
            on_new_holder(c);
            c.log("scheduler_known", {{"holder", l.row->holder},
                                      {"term", absl::StrCat(l.row->term.value)},
                                      {"row_version", absl::StrCat(l.version)}});
        }
    }
    const bool held_here = l.current_role == role::scheduler || l.current_role == role::loading;
    if (held_here && !is_held_by_this_process(c.s)) {
        step_down(c, "another VM holds the lease");
    }
    else if (held_here && shows_renewal) {
        on_renewal_shown(c);
    }
    else if (held_here && l.version != known_version) {
        // No row that was sent before it can be stored any more.
        end_old_handovers(c, *l.row);
    }
}

void on_store_reachable(const context& c, const store_reachable& e)
{
    c.s.store_is_reachable = e.reachable;
    const lease_state& l = c.s.lease;
    std::vector<log_field> fields{{"role", name_of(l.current_role)}};
    if (l.current_role == role::scheduler) {
        fields.push_back({"renewed_ms_ago", absl::StrCat((c.now - l.renewed_at).count)});
    }
    c.log(e.reachable ? "store_regained" : "store_lost", std::move(fields));
    if (e.reachable) {
        // The holder may have lost the store too: it has half a lease length to renew before
        // another VM claims.
        c.s.lease.seen_at = std::max(c.s.lease.seen_at, c.now - config::lease_length / 2);
    }
}

void on_head_read(const context& c, const rows_read_done& e)
{
    lease_state& l = c.s.lease;
    if (l.current_role != role::reading_head) {
        return;
    }
    if (!e.ok) {
        l.head_answered_since.reset();
    }
    if (!e.ok || c.s.stopping || c.now < claimable_at(c.s)) {
        become_follower(c);
        return;
    }
    const instant claimable = claimable_after_answer(c);
    if (c.now < claimable) {
        become_follower(c);
        l.retry_at = claimable;
        return;
    }
    l.head_answered_since.reset();
    row_version head_version{0};
    head_row newest;
    for (const table_row& r : e.rows) {
        auto row = decode_head(r.value);
        if (r.key == head_key.key && row.ok()) {
            newest = *row;
            head_version = r.version;
        }
    }
    const term_number known = l.row ? l.row->term : term_number{};
    l.term.value = std::max(known.value, newest.term.value) + 1;
    l.current_role = role::claiming;
    remember_predecessor(c.s, l);
    rows_commit claim;
    claim.preconditions.push_back({head_key, head_version});
    claim.changes.push_back({head_key, encode_head({l.term, 0})});
    send_lease(c, std::move(claim), false);
}

void on_lease_committed(const context& c, const rows_committed& e)
{
    lease_state& l = c.s.lease;
    if (e.number != l.last_commit) {
        return;
    }
    l.renewal_in_flight = false;
    if (l.current_role == role::claiming) {
        on_claim_committed(c, e);
    }
    else if (l.current_role == role::scheduler || l.current_role == role::loading) {
        on_renewal_committed(c, e);
    }
}

void check_lease(const context& c)
{
    lease_state& l = c.s.lease;
    if (l.current_role == role::scheduler || l.current_role == role::loading) {
        if (const auto cause = cause_of_handover(c)) {
            log_handover(c, *cause);
            l.releasing = true;
            l.retry_at = c.now;
        }
        renew_when_due(c);
        return;
    }
    if (c.s.stopping) {
        release_unconfirmed_claim(c);
        return;
    }
    const bool may_claim = l.current_role == role::follower && l.was_read && c.s.store_is_reachable;
    if (!may_claim) {
        return;
    }
    const instant at = std::max(claimable_at(c.s), l.retry_at);
    if (c.now >= at) {
        begin_claim(c);
    }
    else {
        c.wake_by(at);
    }
}

void begin_release(const context& c)
{
    lease_state& l = c.s.lease;
    if (l.current_role == role::scheduler || l.current_role == role::loading) {
        l.releasing = true;
        l.retry_at = c.now;
        check_lease(c);
    }
}

void step_down(const context& c, const std::string& reason)
{
    c.log("lease_lost", {{"term", absl::StrCat(c.s.lease.term.value)}, {"reason", reason}});
    c.add(watch_registry{false});
    for (auto& [handle, call] : c.s.calls) {
        const bool handled_here = call.dispatched;
        call.dispatched = false;
        call.maybe_accepted =
            call.maybe_accepted || (handled_here && call.call.kind == call_kind::submit);
        call.retry_at = c.now;
    }
    c.s.scheduler = {};
    c.s.lease.releasing = false;
    // Answers to commits in flight belong to the term that ended and are ignored.
    ++c.s.lease.last_commit;
    c.s.lease.renewal_in_flight = false;
    become_follower(c);
}

} // namespace cuminmoor::central
