/// \file
/// Entry VMs of the deployment: their capacities and recent contact. An entry VM with
/// insufficient capacity claims the scheduler's lease later than larger ones and hands it over to
/// them.
#include "members.h"

#include <algorithm>

#include "codec.h"

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

} // namespace

bool has_sufficient_capacity(const central_state& s)
{
    return is_sufficient(s.self.capacity, largest_capacity(s));
}

bool has_larger_live_peer(const context& c)
{
    const vm_capacity largest = largest_capacity(c.s);
    return std::any_of(c.s.members.last_contact_at.begin(), c.s.members.last_contact_at.end(),
                       [&](const auto& heard) {
                           const auto found = c.s.members.capacities.find(heard.first);
                           return found != c.s.members.capacities.end() &&
                                  c.now - heard.second <= config::peer_liveness_window &&
                                  is_sufficient(found->second, largest);
                       });
}

void record_peer_contact(const context& c, const vm_id& vm)
{
    c.s.members.last_contact_at[vm] = c.now;
}

void on_capacity_row(const context& c, const table_row& row)
{
    if (!row.key.starts_with(key_prefix)) {
        return;
    }
    const auto capacity = decode_capacity(row.value);
    if (!capacity.ok()) {
        c.log("capacity_unreadable",
              {{"row", row.key}, {"reason", std::string{capacity.status().message()}}});
        return;
    }
    c.s.members.capacities[vm_id{row.key.substr(key_prefix.size())}] = *capacity;
}

void on_capacity_committed(const context& c, const rows_committed& e)
{
    membership_state& m = c.s.members;
    m.write_in_flight = false;
    if (e.outcome == store_outcome::ok) {
        m.capacities[c.s.self.vm] = c.s.self.capacity;
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
    if (!may_write || is_stored(c.s) || c.now < m.retry_write_at) {
        return;
    }
    m.write_in_flight = true;
    rows_commit commit;
    commit.purpose = commit_purpose::capacity;
    commit.changes.push_back({{table::control, own_key(c.s)}, encode_capacity(c.s.self.capacity)});
    c.add(std::move(commit));
}

} // namespace cuminmoor::central
