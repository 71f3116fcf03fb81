/// \file
/// Event handling of the request path.
#include <algorithm>

#include "requests_internal.h"

namespace cuminmoor {

namespace requests {

namespace {

void on_arrived(context& c, const request_arrived& a)
{
    auto& requests = c.s.requests;
    auto& r = requests.open[a.handle];
    r.arrived = a;
    r.timer_at = a.deadline;
    requests.timers.emplace(r.timer_at, a.handle);
    const std::size_t size = a.body ? a.body->size() : 0;
    requests.body_bytes += size;
    c.s.counters.add("request_arrived");
    if (c.s.stopping) {
        refuse(c, r, result_code::shutting_down, "this entry VM is stopping; use another one");
    }
    else if (requests.body_bytes > config::max_open_body_bytes) {
        refuse(c, r, result_code::queue_full,
               "too many body bytes in open requests; try again later");
    }
    else if (a.deadline <= c.now) {
        refuse(c, r, result_code::deadline_unreachable, "the deadline has passed; allow more time");
    }
    else {
        route_request(c, r);
    }
}

/// Ends a request that is not running. A dispatch in flight continues, so that its slot stays
/// accounted for and the answer of a non-idempotent request is stored.
void on_abandoned(context& c, const request_abandoned& a)
{
    auto* r = find_open_request(c, a.handle);
    if (r == nullptr || r->answered) {
        return;
    }
    c.s.counters.add("request_abandoned");
    r->answered = true;
    if (r->phase != request_phase::dispatched && r->phase != request_phase::settling) {
        refuse(c, *r, result_code::deadline_unreachable, "");
    }
}

void on_timer(context& c, open_request& r)
{
    const bool expired = r.arrived.deadline <= c.now;
    switch (r.phase) {
    case request_phase::queued:
        refuse(c, r, result_code::deadline_unreachable, "no slot became free before the deadline");
        break;
    case request_phase::dispatched:
        on_dispatch_timeout(c, r);
        break;
    case request_phase::settling:
        resume_claim(c, r);
        break;
    default:
        expired ? on_claim_deadline(c, r) : resume_claim(c, r);
    }
}

void run_due_timers(context& c)
{
    auto& timers = c.s.requests.timers;
    while (!timers.empty() && timers.begin()->first <= c.now) {
        const auto handle = timers.begin()->second;
        auto& r = c.s.requests.open.at(handle);
        // The handler sets a new timer if it needs one; otherwise the next event drives the
        // request.
        set_timer(c, r, never);
        on_timer(c, r);
    }
}

/// Updates the smoothed demand. Hysteresis keeps slots from changing owner on small changes.
void update_demand(request_state& requests)
{
    constexpr std::uint64_t smoothing{8};
    constexpr std::uint64_t unit{1'000};
    requests.demand_permille +=
        (requests.open.size() * unit) / smoothing - requests.demand_permille / smoothing;
    const std::uint64_t demand = requests.demand_permille / unit + config::demand_floor;
    const std::uint64_t announced = requests.announced_demand + config::demand_floor;
    if (demand * 2 > announced * 3 || announced * 2 > demand * 3) {
        requests.announced_demand = demand - config::demand_floor;
    }
}

void on_tick(context& c)
{
    update_demand(c.s.requests);
    refresh_routes(c, false, true);
    release_held_slots(c);
    run_due_timers(c);
    std::vector<service_id> services;
    for (auto& [id, service] : c.s.requests.services) {
        service.runners.end_backoffs(c.now);
        service.spill.end_backoffs(c.now);
        if (!service.waiting.empty()) {
            services.push_back(id);
        }
    }
    for (const auto& id : services) {
        dispatch_queued(c, id);
    }
}

} // namespace

} // namespace requests

std::uint32_t waiting_requests(const request_state& requests)
{
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(requests.announced_demand, UINT32_MAX));
}

bool are_slots_in_handover(const request_state& requests)
{
    return std::any_of(requests.services.begin(), requests.services.end(), [&](const auto& entry) {
        return requests.routes.runners.contains(entry.first) && entry.second.runners.slots() == 0 &&
               requests.routes.next_slot_change != never;
    });
}

std::int64_t connection_limit_per_runner(const request_state& requests)
{
    const auto members = static_cast<std::int64_t>(requests.routes.members.size());
    return std::max<std::int64_t>(1, config::connections_per_runner /
                                         std::max<std::int64_t>(1, members));
}

void handle_requests(context& c, const event& e)
{
    requests::refresh_routes(c, false, false);
    std::visit(overloaded{[&](const tick&) { requests::on_tick(c); },
                          [&](const vm_list_done& l) { requests::refresh_routes(c, l.ok, true); },
                          [&](const request_arrived& a) { requests::on_arrived(c, a); },
                          [&](const request_abandoned& a) { requests::on_abandoned(c, a); },
                          [&](const dispatch_ended& d) { requests::on_dispatch_ended(c, d); },
                          [&](const store_committed& d) { requests::on_claim_committed(c, d); },
                          [&](const store_read_done& d) { requests::on_claim_read(c, d); },
                          [](const auto&) {}},
               e);
}

} // namespace cuminmoor
