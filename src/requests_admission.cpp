/// \file
/// Admission and routing: to local runners, to another failure domain, or refusal.
#include <algorithm>

#include "requests_internal.h"
#include "stable_hash.h"

namespace cuminmoor::requests {

namespace {

struct refusal {
    result_code code;
    std::string message;
};

/// \return true if this entry VM owns slots of the service's runners, including ones in handover.
bool has_local_slots(const context& c, const service_id& service)
{
    const auto& routes = c.s.requests.routes;
    const auto found = routes.runners.find(service);
    // With fewer slots than entry VMs, some entry VMs own none.
    return found != routes.runners.end() &&
           found->second.size() * static_cast<std::size_t>(config::slots_per_runner) >=
               routes.members.size();
}

bool is_known_service(const context& c, const service_id& service)
{
    const auto& configuration = c.s.configuration.current;
    const auto& routes = c.s.requests.routes;
    return !c.s.membership.has_list || configuration.version == config_version{} ||
           configuration.services.contains(service) || routes.runners.contains(service) ||
           routes.remote_failure_domains.contains(service);
}

void refuse_without_runner(context& c, open_request& r)
{
    const auto& service = r.arrived.service.value;
    if (r.attempts > 0) {
        refuse(c, r, result_code::not_run_after_retries,
               "previous attempts were refused, and no runner of service " + service +
                   " exists in this failure domain; try again later");
    }
    else if (!is_known_service(c, r.arrived.service)) {
        refuse(c, r, result_code::unknown_service,
               "service " + service + " does not exist; check its name");
    }
    else {
        refuse(c, r, result_code::no_backend_server,
               "no runner of service " + service + " is in reach; try again later");
    }
}

/// Enforces the queue limit. A full queue is shared equally among the queued callers: a caller
/// below its share displaces the latest request of the largest one.
std::optional<refusal> check_queue_limit(context& c, const service_state& service,
                                         const open_request& r)
{
    const auto& waiting = service.waiting;
    if (waiting.size() < config::max_queued_requests) {
        return std::nullopt;
    }
    const std::size_t own_waiting = waiting.size_of(r.arrived.caller);
    const std::size_t callers = waiting.callers() + (own_waiting == 0 ? 1 : 0);
    if (own_waiting < config::max_queued_requests / callers) {
        if (auto* last = find_open_request(c, waiting.latest_of_largest_queue())) {
            refuse(c, *last, result_code::caller_over_share,
                   "the queue is full and this caller holds the most entries; send fewer requests "
                   "at a time");
        }
        return std::nullopt;
    }
    if (callers > 1) {
        return refusal{result_code::caller_over_share,
                       "the queue is full and this caller holds its share; send fewer "
                       "requests at a time"};
    }
    return refusal{result_code::queue_full, "the queue is full; try again later"};
}

std::optional<refusal> check_deadline(const context& c, const service_state& service,
                                      const open_request& r)
{
    const auto& pool = service.runners;
    const bool has_free_slot = service.waiting.empty() && pool.total_in_flight() < pool.slots();
    millis wait;
    if (!has_free_slot) {
        const auto ahead = static_cast<std::int64_t>(
            service.waiting.count_ahead(r.arrived.caller, r.arrived.deadline));
        constexpr std::int64_t us_per_ms{1'000};
        const std::int64_t slots = std::max<std::int64_t>(1, pool.slots());
        wait = {service.service_time.mean_us(c.now) * (ahead + 1) / slots / us_per_ms};
    }
    if (!is_deadline_unreachable(c, service, r.arrived.deadline, wait, !has_free_slot)) {
        return std::nullopt;
    }
    return refusal{result_code::deadline_unreachable,
                   "the queue is too long for this deadline; try again later or allow more time"};
}

/// Spills excess load, but only to an entry VM with less than half of this one's demand, so that
/// failure domains don't overload each other.
bool try_spill_overload(context& c, open_request& r)
{
    const auto service = c.s.requests.services.find(r.arrived.service);
    const auto target = service->second.spill.choose(mix_bits(r.arrived.handle.value), r.sent_to);
    if (!target) {
        return false;
    }
    const auto peer = c.s.membership.peers.find(*target);
    return peer != c.s.membership.peers.end() &&
           std::uint64_t{peer->second.last.waiting_requests} * 2 < c.s.requests.announced_demand &&
           try_spill(c, r);
}

void serve_locally(context& c, open_request& r)
{
    auto& service = c.s.requests.services[r.arrived.service];
    if (r.attempts == 0) {
        auto refused = check_deadline(c, service, r);
        if (!refused) {
            refused = check_queue_limit(c, service, r);
        }
        if (refused) {
            if (!try_spill_overload(c, r)) {
                refuse(c, r, refused->code, refused->message);
            }
            return;
        }
    }
    if (r.arrived.idempotent) {
        enqueue_request(c, r);
    }
    else {
        begin_claim(c, r);
    }
}

} // namespace

bool try_spill(context& c, open_request& r)
{
    const auto service = c.s.requests.services.find(r.arrived.service);
    if (r.arrived.hops > 0 || r.spills >= config::max_spills ||
        service == c.s.requests.services.end()) {
        return false;
    }
    const auto target = service->second.spill.choose(mix_bits(r.arrived.handle.value), r.sent_to);
    if (!target) {
        return false;
    }
    c.s.counters.add("request_spilled");
    ++r.spills;
    send_dispatch(c, r, *target, true);
    return true;
}

void enqueue_request(context& c, open_request& r)
{
    const service_id service = r.arrived.service;
    r.phase = request_phase::queued;
    set_timer(c, r, r.arrived.deadline);
    c.s.requests.services[service].waiting.push(
        {r.arrived.caller, r.arrived.deadline, r.arrived.handle});
    dispatch_queued(c, service);
}

void route_request(context& c, open_request& r)
{
    if (may_hold_claim(r)) {
        // Only the entry VM that holds the claim may run the request.
        if (c.s.requests.routes.runners.contains(r.arrived.service)) {
            enqueue_request(c, r);
        }
        else {
            refuse_without_runner(c, r);
        }
        return;
    }
    const bool local = has_local_slots(c, r.arrived.service);
    const bool out = !c.s.configuration.current.is_in_service(c.s.self.failure_domain);
    if ((out || !local) && try_spill(c, r)) {
        return;
    }
    if (!local) {
        refuse_without_runner(c, r);
        return;
    }
    serve_locally(c, r);
}

} // namespace cuminmoor::requests
