/// \file
/// Entry VMs of the deployment: their capacities and recent contact. An entry VM with
/// insufficient capacity claims the scheduler's lease later than larger ones and hands it over to
/// them. While it holds the lease, larger ones write their rows again to show that they live and
/// reach the store.
#include "central/lease/members.h"

#include <algorithm>

#include "central/store/codec.h"

namespace cuminmoor::central {

namespace {

const std::string key_prefix{"vm/"};

std::string own_key(const central_state& s)
{
    return key_prefix + s.self.vm.value;
}

bool is_stored(const central_state& s)
{
    const auto found = s.members.capacities.find(s.self.vm);
    return found != s.members.capacities.end() && found->second == s.self.capacity;
}

/// \return the largest value that any VM has, for each measure separately.
vm_capacity largest_capacity(const central_state& s)
{
    vm_capacity largest = s.self.capacity;
    for (const auto& [vm, each] : s.members.capacities) {
        largest.milli_cores = std::max(largest.milli_cores, each.milli_cores);
        largest.link_kbit_per_s = std::max(largest.link_kbit_per_s, each.link_kbit_per_s);
    }
    return largest;
}

bool is_sufficient(const vm_capacity& capacity, const vm_capacity& largest)
{
    constexpr std::int64_t whole{100};
    return capacity.milli_cores * whole >=
               largest.milli_cores * config::sufficient_capacity_percent &&
           capacity.link_kbit_per_s * whole >=
               largest.link_kbit_per_s * config::sufficient_capacity_percent;
}

bool has_sufficient_capacity_of(const central_state& s, const vm_id& vm)
{
    const auto found = s.members.capacities.find(vm);
    return found != s.members.capacities.end() && is_sufficient(found->second, largest_capacity(s));
}

bool is_larger_vm(const central_state& s, const vm_id& vm)
{
    return vm != s.self.vm && has_sufficient_capacity_of(s, vm);
}

/// \return true while this VM should show that it lives: the lease is held by one with insufficient
/// capacity.
bool should_announce(const central_state& s)
{
    const lease_state& l = s.lease;
    if (!l.row || l.row->released || !has_sufficient_capacity(s)) {
        return false;
    }
    const vm_id holder{l.row->holder};
    return s.members.capacities.contains(holder) && !has_sufficient_capacity_of(s, holder);
}

void delay_announcement(const context& c)
{
    c.s.members.next_announcement_at =
        c.now + config::capacity_announcement_period + claim_jitter(c.s);
}

} // namespace

millis claim_jitter(const central_state& s)
{
    return {static_cast<std::int64_t>(s.self.incarnation %
                                      static_cast<std::uint64_t>(config::claim_jitter_ms))};
}

bool has_sufficient_capacity(const central_state& s)
{
    return is_sufficient(s.self.capacity, largest_capacity(s));
}

bool has_larger_live_peer(const context& c)
{
    return std::any_of(c.s.members.last_contact_at.begin(), c.s.members.last_contact_at.end(),
                       [&](const auto& heard) {
                           return c.now - heard.second <= config::peer_liveness_window &&
                                  is_larger_vm(c.s, heard.first);
                       });
}

bool has_larger_vm_with_store(const context& c)
{
    const auto& writes = c.s.members.capacity_writes;
    return std::any_of(writes.begin(), writes.end(), [&](const auto& written) {
        const auto& [vm, newest] = written;
        return newest.version > c.s.lease.won_version && newest.seen_at &&
               c.now - *newest.seen_at <= config::peer_liveness_window && is_larger_vm(c.s, vm);
    });
}

std::vector<vm_id> larger_live_vms(const context& c)
{
    const membership_state& m = c.s.members;
    const instant since = c.now - config::peer_liveness_window;
    std::vector<vm_id> live;
    for (const auto& [vm, capacity] : m.capacities) {
        const auto contact = m.last_contact_at.find(vm);
        const auto newest = m.capacity_writes.find(vm);
        const bool has_called = contact != m.last_contact_at.end() && contact->second >= since;
        const bool has_written = newest != m.capacity_writes.end() &&
                                 newest->second.seen_at.value_or(instant{-1}) >= since;
        if ((has_called || has_written) && is_larger_vm(c.s, vm)) {
            live.push_back(vm);
        }
    }
    return live;
}

void on_new_holder(const context& c)
{
    c.s.members.next_announcement_at = c.now + claim_jitter(c.s);
}

void record_peer_contact(const context& c, const vm_id& vm)
{
    c.s.members.last_contact_at[vm] = c.now;
}

void on_capacity_row(const context& c, const table_row& row, bool is_old)
{
    if (!row.key.starts_with(key_prefix)) {
        return;
    }
    const vm_id vm{row.key.substr(key_prefix.size())};
    capacity_write& newest = c.s.members.capacity_writes[vm];
    if (row.version <= newest.version) {
        return;
    }
    newest.version = row.version;
    const auto capacity = decode_capacity(row.value);
    if (!capacity.ok()) {
        c.log("capacity_unreadable",
              {{"row", row.key}, {"reason", std::string{capacity.status().message()}}});
        return;
    }
    c.s.members.capacities[vm] = *capacity;
    if (is_old) {
        return;
    }
    newest.seen_at = c.now;
    if (row.version > c.s.lease.version && has_sufficient_capacity_of(c.s, vm)) {
        delay_announcement(c);
    }
}

void on_capacity_committed(const context& c, const rows_committed& e)
{
    membership_state& m = c.s.members;
    m.write_in_flight = false;
    if (e.outcome == store_outcome::ok) {
        m.capacities[c.s.self.vm] = c.s.self.capacity;
        delay_announcement(c);
    }
    else {
        m.retry_write_at = c.now + config::capacity_write_retry;
    }
}

void check_members(const context& c)
{
    membership_state& m = c.s.members;
    const bool may_write =
        c.s.lease.was_read && c.s.store_is_reachable && !m.write_in_flight && !c.s.stopping;
    const bool announces = should_announce(c.s);
    const instant due =
        is_stored(c.s) ? std::max(m.retry_write_at, m.next_announcement_at) : m.retry_write_at;
    if (!may_write || (is_stored(c.s) && !announces)) {
        return;
    }
    if (c.now < due) {
        c.wake_by(due);
        return;
    }
    m.write_in_flight = true;
    rows_commit commit;
    commit.purpose = commit_purpose::capacity;
    commit.changes.push_back({{table::control, own_key(c.s)}, encode_capacity(c.s.self.capacity)});
    c.add(std::move(commit));
}

} // namespace cuminmoor::central
