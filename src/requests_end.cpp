/// \file
/// Answers to callers and closing of requests.
#include "requests_internal.h"

namespace cuminmoor::requests {

namespace {

void count_answer(context& c, result_code code)
{
    if (code == result_code::ok) {
        c.s.counters.add("request_answered");
        return;
    }
    const char* prefix = is_certainly_not_run(code) ? "request_refused_" : "request_ended_";
    c.s.counters.add(prefix + std::string{name_of(code)});
}

void remove_from_queue(context& c, const open_request& r)
{
    const auto service = c.s.requests.services.find(r.arrived.service);
    if (r.phase == request_phase::queued && service != c.s.requests.services.end()) {
        service->second.waiting.remove({r.arrived.caller, r.arrived.deadline, r.arrived.handle});
    }
}

/// Routes requests again whose joined request ended without running.
void restart_joined_requests(context& c, const std::vector<traffic_handle>& joined)
{
    for (const auto handle : joined) {
        auto* r = find_open_request(c, handle);
        if (r != nullptr && r->phase == request_phase::joined) {
            r->phase = request_phase::queued;
            route_request(c, *r);
        }
    }
}

} // namespace

open_request* find_open_request(context& c, traffic_handle handle)
{
    const auto found = c.s.requests.open.find(handle);
    return found == c.s.requests.open.end() ? nullptr : &found->second;
}

void set_timer(context& c, open_request& r, instant at)
{
    c.s.requests.timers.erase({r.timer_at, r.arrived.handle});
    r.timer_at = at;
    c.s.requests.timers.emplace(at, r.arrived.handle);
}

void send_answer(context& c, open_request& r, request_answer answer)
{
    if (r.answered) {
        return;
    }
    r.answered = true;
    count_answer(c, answer.code);
    answer.handle = r.arrived.handle;
    c.out.add(std::move(answer));
}

void refuse(context& c, open_request& r, result_code code, const std::string& message)
{
    if (r.may_have_run) {
        finish_with_unknown_outcome(c, r, "sent, but its answer was lost; " + message);
        return;
    }
    remove_from_queue(c, r);
    request_answer answer{
        .handle = r.arrived.handle, .code = code, .status = 0, .body = nullptr, .message = message};
    if (may_hold_claim(r)) {
        r.claim->deferred_refusal = std::move(answer);
        begin_settlement(c, r, settle_action::release);
        return;
    }
    send_answer(c, r, std::move(answer));
    close_request(c, r.arrived.handle);
}

void finish_with_answer(context& c, open_request& r, int status, const body_text& body)
{
    request_answer answer{.handle = r.arrived.handle,
                          .code = result_code::ok,
                          .status = status,
                          .body = body,
                          .message = ""};
    send_answer(c, r, answer);
    if (r.claim && r.claim->version != 0) {
        r.claim->final_answer = std::move(answer);
        answer_joined_requests(c, r);
        begin_settlement(c, r, settle_action::store_answer);
        return;
    }
    close_request(c, r.arrived.handle);
}

void finish_with_unknown_outcome(context& c, open_request& r, const std::string& message)
{
    remove_from_queue(c, r);
    send_answer(c, r,
                {.handle = r.arrived.handle,
                 .code = result_code::outcome_unknown,
                 .status = 0,
                 .body = nullptr,
                 .message = message});
    if (r.claim && r.claim->version != 0) {
        answer_joined_requests(c, r);
        begin_settlement(c, r, settle_action::mark_unknown);
        return;
    }
    close_request(c, r.arrived.handle);
}

void close_request(context& c, traffic_handle handle)
{
    auto& requests = c.s.requests;
    const auto found = requests.open.find(handle);
    const auto& r = found->second;
    requests.timers.erase({r.timer_at, handle});
    requests.body_bytes -= r.arrived.body ? r.arrived.body->size() : 0;
    std::vector<traffic_handle> joined;
    if (r.claim) {
        joined = r.claim->joined_requests;
        requests.store_calls.erase(r.claim->call_number);
        const auto claim = requests.claims.find(r.claim->key);
        if (claim != requests.claims.end() && claim->second == handle) {
            requests.claims.erase(claim);
        }
    }
    requests.open.erase(found);
    restart_joined_requests(c, joined);
}

} // namespace cuminmoor::requests
