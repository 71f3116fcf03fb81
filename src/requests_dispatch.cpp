/// \file
/// Dispatches, their outcomes and retries.
#include <algorithm>

#include "requests_internal.h"
#include "stable_hash.h"

namespace cuminmoor::requests {

namespace {

/// A request is urgent if its deadline is at most this many estimated service times away.
constexpr std::int64_t urgent_service_times{2};
/// Without contention the estimate is divided by this, so that unlikely deadlines are tried too:
/// that delays no other request and provides samples for the estimate.
constexpr std::int64_t uncontended_divisor{4};
constexpr std::uint32_t max_backoff_doublings{10};

backend_pool& pool_of(context& c, const open_request& r)
{
    auto& service = c.s.requests.services[r.arrived.service];
    return r.to_entry_vm ? service.spill : service.runners;
}

void back_off(context& c, const open_request& r)
{
    auto& pool = pool_of(c, r);
    const auto doublings = std::min(pool.failures(r.sent_to), max_backoff_doublings);
    const std::int64_t pause = std::min(config::backend_backoff_base.count << doublings,
                                        config::backend_backoff_cap.count);
    const auto spread = static_cast<std::int64_t>(jitter(c.s, static_cast<std::uint64_t>(pause)));
    pool.back_off(r.sent_to, c.now + millis{pause / 2 + spread / 2});
}

void hold_slot(context& c, const open_request& r)
{
    c.s.requests.held_slots.push_back({.release_at = c.now + config::lost_slot_hold,
                                       .service = r.arrived.service,
                                       .to_entry_vm = r.to_entry_vm,
                                       .backend_server = r.sent_to});
}

/// Ends a dispatch whose request was already answered or abandoned.
void finish_without_caller(context& c, open_request& r, bool lost)
{
    if (lost && r.claim) {
        begin_settlement(c, r, settle_action::mark_unknown);
    }
    else if (r.claim) {
        begin_settlement(c, r, settle_action::release);
    }
    else {
        close_request(c, r.arrived.handle);
    }
}

/// Retries a request whose dispatch ended without an answer, or refuses it if no retry is allowed.
/// \param reason suffix of the counter name.
void retry(context& c, open_request& r, const std::string& reason)
{
    auto& budget = c.s.requests.services[r.arrived.service].retries;
    r.phase = request_phase::queued;
    if (r.arrived.deadline <= c.now) {
        refuse(c, r, result_code::not_run_after_retries,
               "the deadline passed before a retry was possible");
    }
    else if (r.attempts >= config::max_dispatches) {
        refuse(c, r, result_code::not_run_after_retries,
               "not run in " + std::to_string(r.attempts) + " attempts; try again later");
    }
    else if (!budget.try_withdraw()) {
        refuse(c, r, result_code::retry_budget_exhausted,
               "the retry budget of the service is exhausted; try again later");
    }
    else {
        c.s.counters.add("request_retry_" + reason);
        route_request(c, r);
    }
}

void on_dispatch_not_run(context& c, open_request& r, const std::string& reason)
{
    c.s.counters.add("dispatch_" + reason);
    pool_of(c, r).release(r.sent_to);
    back_off(c, r);
    if (r.answered) {
        finish_without_caller(c, r, false);
    }
    else {
        retry(c, r, reason);
    }
}

void on_dispatch_lost(context& c, open_request& r)
{
    c.s.counters.add("dispatch_lost");
    hold_slot(c, r);
    back_off(c, r);
    r.may_have_run = true;
    if (r.answered) {
        finish_without_caller(c, r, true);
    }
    else if (r.arrived.idempotent) {
        retry(c, r, "lost");
    }
    else {
        finish_with_unknown_outcome(c, r,
                                    "sent, but no complete answer was received; it may have run");
    }
}

void on_dispatch_answered(context& c, open_request& r, const dispatch_ended& d)
{
    auto& pool = pool_of(c, r);
    pool.release(r.sent_to);
    pool.mark_healthy(r.sent_to);
    if (!r.to_entry_vm) {
        c.s.requests.services[r.arrived.service].service_time.add_sample(c.now - r.sent_at, c.now);
    }
    finish_with_answer(c, r, d.status, d.body);
}

/// Dispatches a request taken from the queue, or refuses it if its deadline is too close.
void dispatch_next(context& c, const service_state& service, open_request& r)
{
    if (is_deadline_unreachable(c, service, r.arrived.deadline, millis{},
                                !service.waiting.empty())) {
        refuse(c, r, result_code::deadline_unreachable,
               "too little time was left when a slot became free; allow more time");
        return;
    }
    const std::uint64_t tie = mix_bits(r.arrived.handle.value ^ c.s.self.incarnation);
    const auto runner = service.runners.choose(tie, r.sent_to);
    if (r.attempts == 0) {
        c.s.requests.services[r.arrived.service].retries.deposit();
    }
    send_dispatch(c, r, *runner, false);
}

/// \return the first timeout of a dispatch. Idempotent requests get one before their deadline, so
/// that they can be retried when a runner hangs.
instant first_timeout(const context& c, const open_request& r)
{
    if (!r.arrived.idempotent || r.to_entry_vm) {
        return r.arrived.deadline;
    }
    const auto service = c.s.requests.services.find(r.arrived.service);
    const millis usual = service->second.service_time.mean_plus_deviation(c.now);
    const millis timeout =
        std::max(config::min_attempt_timeout, usual * config::attempt_timeout_service_times);
    return std::min(r.arrived.deadline, c.now + timeout);
}

void drop_dispatch(context& c, open_request& r)
{
    c.s.counters.add("dispatch_dropped");
    c.out.add(request_drop_dispatch{r.dispatch});
    hold_slot(c, r);
    back_off(c, r);
    r.may_have_run = true;
}

/// Retries a slow dispatch of an idempotent request on another runner, if one is free and the retry
/// budget allows it.
void try_other_runner(context& c, open_request& r)
{
    auto& service = c.s.requests.services[r.arrived.service];
    const auto other = service.runners.choose(0, r.sent_to);
    const bool possible = !r.answered && r.attempts < config::max_dispatches && other &&
                          *other != r.sent_to && service.retries.try_withdraw();
    if (!possible) {
        set_timer(c, r, r.arrived.deadline);
        return;
    }
    c.s.counters.add("request_retry_timeout");
    drop_dispatch(c, r);
    route_request(c, r);
}

} // namespace

bool is_deadline_unreachable(const context& c, const service_state& service, instant deadline,
                             millis wait, bool contended)
{
    const millis likely = service.service_time.mean_plus_deviation(c.now);
    return c.now + wait + (contended ? likely : likely / uncontended_divisor) >= deadline;
}

void dispatch_queued(context& c, const service_id& id)
{
    const auto found = c.s.requests.services.find(id);
    if (found == c.s.requests.services.end()) {
        return;
    }
    auto& service = found->second;
    const instant urgent_before =
        c.now + service.service_time.mean_plus_deviation(c.now) * urgent_service_times;
    while (service.runners.choose(0, {})) {
        const auto handle = service.waiting.pop(urgent_before);
        if (!handle) {
            break;
        }
        dispatch_next(c, service, *find_open_request(c, *handle));
    }
}

void send_dispatch(context& c, open_request& r, const vm_id& to, bool to_entry_vm)
{
    r.phase = request_phase::dispatched;
    r.dispatch = dispatch_handle{c.s.requests.next_dispatch++};
    r.sent_to = to;
    r.to_entry_vm = to_entry_vm;
    r.sent_at = c.now;
    ++r.attempts;
    set_timer(c, r, first_timeout(c, r));
    pool_of(c, r).acquire(to);
    c.out.add(request_dispatch{.handle = r.arrived.handle,
                               .dispatch = r.dispatch,
                               .to = to,
                               .to_entry_vm = to_entry_vm,
                               .deadline = r.arrived.deadline,
                               .caller = r.arrived.caller,
                               .service = r.arrived.service,
                               .id = r.arrived.id,
                               .idempotent = r.arrived.idempotent,
                               .hops = r.arrived.hops + (to_entry_vm ? 1U : 0U),
                               .body = r.arrived.body},
              r.arrived.deadline);
}

void on_dispatch_ended(context& c, const dispatch_ended& d)
{
    auto* r = find_open_request(c, d.handle);
    if (r == nullptr || r->phase != request_phase::dispatched || r->dispatch != d.dispatch) {
        c.s.counters.add("dispatch_ended_too_late");
        return;
    }
    const service_id service = r->arrived.service;
    switch (d.outcome) {
    case dispatch_outcome::answered:
        on_dispatch_answered(c, *r, d);
        break;
    case dispatch_outcome::refused:
        on_dispatch_not_run(c, *r, "refused");
        break;
    case dispatch_outcome::not_sent:
        on_dispatch_not_run(c, *r, "not_sent");
        break;
    case dispatch_outcome::lost:
        on_dispatch_lost(c, *r);
        break;
    }
    dispatch_queued(c, service);
}

void on_dispatch_timeout(context& c, open_request& r)
{
    const instant last = r.arrived.deadline + config::dispatch_linger;
    if (c.now < r.arrived.deadline) {
        try_other_runner(c, r);
        return;
    }
    if (c.now < last) {
        send_answer(
            c, r,
            {.handle = r.arrived.handle,
             .code = result_code::outcome_unknown,
             .status = 0,
             .body = nullptr,
             .message = "sent, but no answer was received before the deadline; it may have run"});
        set_timer(c, r, last);
        return;
    }
    drop_dispatch(c, r);
    finish_with_unknown_outcome(c, r, "sent, but no answer was received; it may have run");
}

void release_held_slots(context& c)
{
    auto& held = c.s.requests.held_slots;
    while (!held.empty() && held.front().release_at <= c.now) {
        auto& service = c.s.requests.services[held.front().service];
        auto& pool = held.front().to_entry_vm ? service.spill : service.runners;
        pool.release(held.front().backend_server);
        held.pop_front();
    }
}

} // namespace cuminmoor::requests
