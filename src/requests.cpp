/// \file
/// Requests part of the reducer: from a request's arrival to its one answer.
#include "context.h"
#include "cuminmoor/config.h"

namespace cuminmoor {

namespace {

bool is_candidate(const state& s, const vm_entry& vm, const service_id& service)
{
    return vm.role == vm_role::runner && vm.phase == vm_phase::live && vm.service == service &&
           vm.failure_domain == s.self.failure_domain && !s.membership.leaving.contains(vm.id);
}

const vm_entry* choose_runner(const state& s, const service_id& service)
{
    const vm_entry* best = nullptr;
    std::int64_t best_load = config::slots_per_runner;
    for (const auto& [id, vm] : s.membership.vms) {
        const auto load = s.requests.in_flight.find(id);
        const std::int64_t in_flight = load == s.requests.in_flight.end() ? 0 : load->second;
        if (in_flight < best_load && is_candidate(s, vm, service)) {
            best = &vm;
            best_load = in_flight;
        }
    }
    return best;
}

void refuse(context& c, traffic_handle handle, result_code code, const std::string& message)
{
    c.s.counters.add("request_refused_" + std::string{name_of(code)});
    c.out.add(request_answer{
        .handle = handle, .code = code, .status = 0, .body = nullptr, .message = message});
}

void send_to(context& c, open_request& r, const vm_entry& runner)
{
    r.dispatch = dispatch_handle{c.s.requests.next_dispatch++};
    r.sent_to = runner.id;
    ++r.tries;
    ++c.s.requests.in_flight[runner.id];
    c.out.add(request_dispatch{.handle = r.arrived.handle,
                               .dispatch = r.dispatch,
                               .to = runner.id,
                               .to_entry_vm = false,
                               .deadline = r.arrived.deadline,
                               .caller = r.arrived.caller,
                               .service = r.arrived.service,
                               .id = r.arrived.id,
                               .idempotent = r.arrived.idempotent,
                               .hops = r.arrived.hops,
                               .body = r.arrived.body},
              r.arrived.deadline);
}

void on_arrived(context& c, const request_arrived& a)
{
    if (c.s.stopping) {
        refuse(c, a.handle, result_code::shutting_down, "this entry VM is stopping; use another");
        return;
    }
    const vm_entry* runner = choose_runner(c.s, a.service);
    if (runner == nullptr) {
        refuse(c, a.handle, result_code::no_backend_server,
               "no runner of service " + a.service.value + " has a free slot; try again later");
        return;
    }
    auto& r = c.s.requests.open[a.handle];
    r.arrived = a;
    send_to(c, r, *runner);
}

request_answer answer_for(const dispatch_ended& d)
{
    switch (d.outcome) {
    case dispatch_outcome::answered:
        return {d.handle, result_code::ok, d.status, d.body, ""};
    case dispatch_outcome::refused:
    case dispatch_outcome::not_sent:
        return {d.handle, result_code::not_run_after_retries, 0, nullptr, "the runner refused it"};
    case dispatch_outcome::lost:
        break;
    }
    return {d.handle, result_code::outcome_unknown, 0, nullptr, "no whole answer came"};
}

void close(context& c, traffic_handle handle)
{
    const auto found = c.s.requests.open.find(handle);
    --c.s.requests.in_flight[found->second.sent_to];
    c.s.requests.open.erase(found);
}

void on_ended(context& c, const dispatch_ended& d)
{
    const auto found = c.s.requests.open.find(d.handle);
    if (found == c.s.requests.open.end() || found->second.dispatch != d.dispatch) {
        return;
    }
    c.out.add(answer_for(d));
    close(c, d.handle);
}

void expire(context& c)
{
    std::vector<traffic_handle> expired;
    for (const auto& [handle, r] : c.s.requests.open) {
        if (r.arrived.deadline <= c.now) {
            expired.push_back(handle);
        }
    }
    for (const auto handle : expired) {
        c.out.add(request_drop_dispatch{c.s.requests.open.at(handle).dispatch});
        c.out.add(request_answer{handle, result_code::outcome_unknown, 0, nullptr,
                                 "no answer before the deadline"});
        close(c, handle);
    }
}

void on_abandoned(context& c, const request_abandoned& a)
{
    const auto found = c.s.requests.open.find(a.handle);
    if (found != c.s.requests.open.end()) {
        c.out.add(request_drop_dispatch{found->second.dispatch});
        close(c, a.handle);
    }
}

} // namespace

void handle_requests(context& c, const event& e)
{
    std::visit(overloaded{[&](const request_arrived& a) { on_arrived(c, a); },
                          [&](const request_abandoned& a) { on_abandoned(c, a); },
                          [&](const dispatch_ended& d) { on_ended(c, d); },
                          [&](const tick&) { expire(c); }, [](const auto&) {}},
               e);
}

} // namespace cuminmoor
