/// \file
/// Routing tables derived from the membership: runners, slot ownership and spill targets.
#include <algorithm>

#include "cuminmoor/slot_shares.h"
#include "requests_internal.h"

namespace cuminmoor::requests {

namespace {

bool is_live(const context& c, const vm_entry& vm)
{
    return vm.phase == vm_phase::live && !c.s.membership.leaving.contains(vm.id);
}

void rebuild_from_vm_list(context& c)
{
    auto& routes = c.s.requests.routes;
    const auto& self = c.s.self;
    routes.runners.clear();
    routes.remote_failure_domains.clear();
    routes.listed_entry_vms.clear();
    for (const auto& [id, vm] : c.s.membership.vms) {
        const bool in_own_domain = vm.failure_domain == self.failure_domain;
        if (vm.role == vm_role::runner && is_live(c, vm)) {
            c.s.requests.services.try_emplace(vm.service);
            in_own_domain
                ? routes.runners[vm.service].push_back(id)
                : (void)routes.remote_failure_domains[vm.service].insert(vm.failure_domain);
        }
        if (vm.role == vm_role::entry && in_own_domain && vm.phase != vm_phase::gone) {
            routes.listed_entry_vms.push_back(id);
        }
    }
    routes.vm_list_loaded = true;
    routes.last_vm_count = c.s.membership.vms.size();
    routes.last_leaving_count = c.s.membership.leaving.size();
}

bool is_recently_seen(const context& c, const peer_state& peer)
{
    return c.now - peer.heard_at <= config::peer_timeout;
}

/// Raises low weights, so that a new or idle entry VM keeps part of an equal share for incoming
/// load.
std::vector<slot_member> apply_weight_floor(const std::map<vm_id, std::uint64_t>& weights)
{
    std::uint64_t total = 0;
    for (const auto& [id, weight] : weights) {
        total += weight;
    }
    const std::uint64_t floor = total / weights.size() / config::mean_demand_divisor;
    std::vector<slot_member> members;
    members.reserve(weights.size());
    for (const auto& [id, weight] : weights) {
        members.push_back({id, std::max(weight, floor)});
    }
    return members;
}

/// \return the entry VMs with a recent heartbeat. Leaving ones are included because they still have
/// requests in flight. If no heartbeat is recent, this entry VM may be partitioned from the others,
/// so all listed entry VMs get equal weight.
std::vector<slot_member> current_members(const context& c)
{
    const auto& requests = c.s.requests;
    std::map<vm_id, std::uint64_t> weights;
    for (const auto& [id, peer] : c.s.membership.peers) {
        if (peer.last.failure_domain == c.s.self.failure_domain && is_recently_seen(c, peer)) {
            weights[id] = config::demand_floor + peer.last.waiting_requests;
        }
    }
    weights.erase(c.s.self.vm);
    if (weights.empty()) {
        for (const auto& id : requests.routes.listed_entry_vms) {
            weights[id] = 1;
        }
        weights[c.s.self.vm] = 1;
    }
    else {
        weights[c.s.self.vm] = config::demand_floor + requests.announced_demand;
    }
    return apply_weight_floor(weights);
}

/// A newly owned slot becomes usable after the handover time, when its previous owner has learned
/// of the change. A slot that is no longer owned is released immediately.
void update_slots(context& c, runner_slots& slots, slot_mask owned)
{
    const bool alone = c.s.requests.routes.members.size() == 1;
    const instant usable = alone ? c.now : c.now + config::slot_handover;
    for (std::size_t n = 0; n < slots.usable_at.size(); ++n) {
        const slot_mask bit = slot_mask{1} << n;
        if ((owned & bit) != 0 && (slots.owned & bit) == 0) {
            slots.usable_at.at(n) = usable;
        }
    }
    slots.owned = owned;
}

void update_slot_ownership(context& c)
{
    auto& routes = c.s.requests.routes;
    std::map<vm_id, runner_slots> before = std::move(routes.slots);
    routes.slots.clear();
    for (const auto& [service, runners] : routes.runners) {
        for (const auto& [runner, owned] : share_slots(runners, routes.members, c.s.self.vm)) {
            auto& slots = routes.slots[runner];
            slots = before[runner];
            slots.service = service;
            update_slots(c, slots, owned);
        }
    }
}

std::int64_t count_usable(route_state& routes, const runner_slots& slots, instant now)
{
    std::int64_t usable = 0;
    for (std::size_t n = 0; n < slots.usable_at.size(); ++n) {
        if ((slots.owned & (slot_mask{1} << n)) == 0) {
            continue;
        }
        const instant at = slots.usable_at.at(n);
        if (at <= now) {
            ++usable;
        }
        else {
            routes.next_slot_change = std::min(routes.next_slot_change, at);
        }
    }
    return usable;
}

void update_runner_pools(context& c)
{
    auto& routes = c.s.requests.routes;
    routes.next_slot_change = never;
    std::map<service_id, std::map<vm_id, std::int64_t>> allowed;
    for (const auto& [runner, slots] : routes.slots) {
        allowed[slots.service][runner] = count_usable(routes, slots, c.now);
    }
    for (auto& [id, service] : c.s.requests.services) {
        service.runners.assign(allowed[id]);
    }
}

bool accepts_spills(const context& c, const peer_state& peer)
{
    const auto& m = c.s.membership;
    const auto listed = m.vms.find(peer.last.from);
    return peer.last.failure_domain != c.s.self.failure_domain && is_recently_seen(c, peer) &&
           !peer.last.leaving && !m.leaving.contains(peer.last.from) &&
           (listed == m.vms.end() || listed->second.phase == vm_phase::live) &&
           c.s.configuration.current.is_in_service(peer.last.failure_domain);
}

std::vector<spill_target> current_spill_targets(const context& c)
{
    std::vector<spill_target> targets;
    for (const auto& [id, peer] : c.s.membership.peers) {
        if (accepts_spills(c, peer)) {
            targets.push_back({id, peer.last.failure_domain});
        }
    }
    return targets;
}

void update_spill_pools(context& c)
{
    const auto& routes = c.s.requests.routes;
    for (auto& [id, service] : c.s.requests.services) {
        std::map<vm_id, std::int64_t> allowed;
        const auto remote_failure_domains = routes.remote_failure_domains.find(id);
        for (const auto& target : routes.spill_targets) {
            if (remote_failure_domains != routes.remote_failure_domains.end() &&
                remote_failure_domains->second.contains(target.failure_domain)) {
                allowed[target.id] = config::spills_in_flight_per_vm;
            }
        }
        service.spill.assign(allowed);
    }
}

/// Routes the queued requests of services that lost their last runner.
void reroute_without_runner(context& c)
{
    std::vector<traffic_handle> handles;
    for (auto& [id, service] : c.s.requests.services) {
        if (c.s.requests.routes.runners.contains(id)) {
            continue;
        }
        while (const auto handle = service.waiting.pop(c.now)) {
            handles.push_back(*handle);
        }
    }
    for (const auto handle : handles) {
        if (auto* r = find_open_request(c, handle)) {
            route_request(c, *r);
        }
    }
}

/// While this process was paused, other entry VMs may have taken over its slots and runners may
/// have begun to leave. Nothing is dispatched until the handover time has passed and those changes
/// are known.
void reset_slots_after_pause(context& c)
{
    auto& routes = c.s.requests.routes;
    c.s.counters.add("request_pause_noticed");
    for (auto& [runner, slots] : routes.slots) {
        slots.usable_at.fill(c.now + config::slot_handover);
    }
    routes.next_slot_change = c.now;
}

} // namespace

void refresh_routes(context& c, bool list_read, bool full)
{
    auto& routes = c.s.requests.routes;
    const bool listed = list_read || !routes.vm_list_loaded ||
                        routes.last_vm_count != c.s.membership.vms.size() ||
                        routes.last_leaving_count != c.s.membership.leaving.size();
    const bool paused =
        routes.vm_list_loaded && c.now - routes.refreshed_at >= config::peer_timeout;
    if (!listed && !full && !paused) {
        return;
    }
    routes.refreshed_at = c.now;
    if (paused) {
        reset_slots_after_pause(c);
    }
    if (listed) {
        rebuild_from_vm_list(c);
    }
    auto members = current_members(c);
    const bool shared = listed || members != routes.members;
    if (shared) {
        routes.members = std::move(members);
        update_slot_ownership(c);
    }
    if (shared || routes.next_slot_change <= c.now) {
        update_runner_pools(c);
    }
    auto targets = current_spill_targets(c);
    if (listed || targets != routes.spill_targets) {
        routes.spill_targets = std::move(targets);
        update_spill_pools(c);
    }
    if (listed) {
        reroute_without_runner(c);
    }
}

} // namespace cuminmoor::requests
