/// \file
/// The membership part of the reducer: polls the platform's list, exchanges heartbeats and tracks
/// which VMs are leaving or gone.
#include "cuminmoor/membership.h"

#include <algorithm>

#include "configuration_sync.h"
#include "context.h"
#include "cuminmoor/config.h"

namespace cuminmoor {

namespace {

millis jittered(context& c, millis period)
{
    const auto spread = static_cast<std::uint64_t>(period.count / 5);
    return period - millis{static_cast<std::int64_t>(jitter(c.s, spread))};
}

void poll_vm_list(context& c)
{
    auto& own = c.s.membership;
    if (own.list_in_flight || c.now < own.next_list_poll) {
        return;
    }
    own.list_in_flight = true;
    own.next_list_poll = c.now + jittered(c, config::vm_list_poll);
    c.out.add(vm_list_read{}, c.now + config::store_timeout);
}

/// Adds the sender's view of its failure domain's scheduler to a heartbeat.
void add_scheduler_view(peer_heartbeat& beat, const scheduler_state& scheduler)
{
    beat.lease_holder = scheduler.lease.seen.holder;
    beat.epoch = scheduler.lease.seen.epoch;
    beat.is_holder = scheduler.lease.role == lease_role::holder && scheduler.recovered;
    beat.assigned_tasks = static_cast<std::uint32_t>(count_assigned(scheduler.job_ledger));
    beat.waiting_tasks = static_cast<std::uint32_t>(scheduler.job_ledger.waiting.size());
}

peer_heartbeat make_heartbeat(context& c)
{
    auto& own = c.s.membership;
    peer_heartbeat beat;
    beat.from = c.s.self.vm;
    beat.failure_domain = c.s.self.failure_domain;
    beat.incarnation = c.s.self.incarnation;
    beat.sequence = ++own.heartbeat_sequence;
    beat.leaving = c.s.stopping;
    beat.version = c.s.configuration.current.version;
    beat.confirmed_age = c.now - c.s.configuration.confirmed_at;
    beat.waiting_requests = waiting_requests(c.s.requests);
    add_scheduler_view(beat, c.s.scheduler);
    for (const auto& vm : own.leaving) {
        if (beat.leaving_vms.size() < config::max_leaving_per_heartbeat) {
            beat.leaving_vms.push_back(vm);
        }
    }
    return beat;
}

/// \return all entry VMs of the own failure domain that are not gone, and one entry VM of each
/// other failure domain, in rotation.
std::vector<vm_id> heartbeat_targets(const context& c)
{
    std::vector<vm_id> targets;
    std::map<failure_domain_id, std::vector<vm_id>> remote;
    for (const auto& [id, vm] : c.s.membership.vms) {
        if (vm.role != vm_role::entry || vm.phase == vm_phase::gone || id == c.s.self.vm) {
            continue;
        }
        if (vm.failure_domain == c.s.self.failure_domain) {
            targets.push_back(id);
        }
        else {
            remote[vm.failure_domain].push_back(id);
        }
    }
    for (const auto& [fd, vms] : remote) {
        targets.push_back(vms[c.s.membership.heartbeat_sequence % vms.size()]);
    }
    return targets;
}

void send_heartbeats(context& c)
{
    auto& own = c.s.membership;
    if (c.now < own.next_heartbeat) {
        return;
    }
    own.next_heartbeat = c.now + jittered(c, config::heartbeat_period);
    const auto beat = make_heartbeat(c);
    for (const auto& target : heartbeat_targets(c)) {
        c.out.add(peer_send{target, beat}, c.now + config::heartbeat_period);
    }
}

/// Marks VMs as gone that have been missing from the list for `config::gone_confirmation`. A
/// single list does not suffice, because the list lags and a read may return an older copy.
void mark_gone_vms(context& c, const std::set<vm_id>& listed)
{
    auto& own = c.s.membership;
    for (auto& [id, vm] : own.vms) {
        if (listed.contains(id) || vm.phase == vm_phase::gone) {
            own.missing_since.erase(id);
            continue;
        }
        const auto since = own.missing_since.try_emplace(id, c.now).first->second;
        if (c.now - since >= config::gone_confirmation) {
            vm.phase = vm_phase::gone;
            own.leaving.erase(id);
            own.missing_since.erase(id);
            c.s.counters.add("vm_gone");
        }
    }
}

void on_vm_list(context& c, const vm_list_done& done)
{
    auto& own = c.s.membership;
    own.list_in_flight = false;
    if (!done.ok) {
        c.s.counters.add("vm_list_read_failed");
        return;
    }
    std::set<vm_id> listed;
    for (const auto& vm : done.vms) {
        listed.insert(vm.id);
        own.vms[vm.id] = vm;
        if (vm.phase == vm_phase::leaving) {
            own.leaving.insert(vm.id);
        }
    }
    own.has_list = true;
    mark_gone_vms(c, listed);
}

void on_heartbeat(context& c, const peer_heartbeat& beat)
{
    if (beat.from == c.s.self.vm) {
        return;
    }
    auto& own = c.s.membership;
    auto& peer = own.peers[beat.from];
    const bool is_older =
        peer.last.incarnation == beat.incarnation && beat.sequence <= peer.last.sequence;
    if (is_older) {
        return;
    }
    peer = {beat, c.now};
    for (const auto& vm : beat.leaving_vms) {
        const auto known = own.vms.find(vm);
        if (known != own.vms.end() && known->second.phase != vm_phase::gone) {
            own.leaving.insert(vm);
        }
    }
    if (beat.version < c.s.configuration.current.version) {
        relay_to_lagging_peer(c, beat.from, beat.version);
    }
}

void remove_silent_peers(context& c)
{
    std::erase_if(c.s.membership.peers, [&](const auto& item) {
        return c.now - item.second.heard_at > config::remote_peer_timeout;
    });
}

} // namespace

bool is_peer_reachable(const membership_state& m, const vm_id& peer,
                       const failure_domain_id& own_domain, instant now)
{
    const auto found = m.peers.find(peer);
    if (found == m.peers.end() || found->second.last.leaving) {
        return false;
    }
    const bool is_local = found->second.last.failure_domain == own_domain;
    const millis limit = is_local ? config::peer_timeout : config::remote_peer_timeout;
    return now - found->second.heard_at <= limit;
}

std::set<failure_domain_id> known_failure_domains(const membership_state& m)
{
    std::set<failure_domain_id> known;
    for (const auto& [id, vm] : m.vms) {
        known.insert(vm.failure_domain);
    }
    return known;
}

void handle_membership(context& c, const event& e)
{
    if (std::holds_alternative<tick>(e)) {
        poll_vm_list(c);
        send_heartbeats(c);
        remove_silent_peers(c);
    }
    if (const auto* done = std::get_if<vm_list_done>(&e)) {
        on_vm_list(c, *done);
    }
    if (const auto* received = std::get_if<peer_received>(&e)) {
        if (const auto* beat = std::get_if<peer_heartbeat>(&received->message)) {
            on_heartbeat(c, *beat);
        }
    }
}

} // namespace cuminmoor
