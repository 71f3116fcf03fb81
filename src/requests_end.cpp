/// \file
/// Answers to callers and the end of requests.
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

void leave_queue(context& c, const open_request& r)
{
    const auto service = c.s.requests.services.find(r.arrived.service);
    if (r.phase == request_phase::queued && service != c.s.requests.services.end()) {
        service->second.waiting.remove({r.arrived.caller, r.arrived.deadline, r.arrived.handle});
    }
}

/// Those that joined a request which did not run try for themselves.
void restart_joined(context& c, const std::vector<traffic_handle>& joined)
{
    for (const auto handle : joined) {
        auto* r = find_open(c, handle);
        if (r != nullptr && r->phase == request_phase::joined) {
            r->phase = request_phase::queued;
            route(c, *r);
        }
    }
}

} // namespace

open_request* find_open(context& c, traffic_handle handle)
{
    const auto found = c.s.requests.open.find(handle);
    return found == c.s.requests.open.end() ? nullptr : &found->second;
}

void set_wake(context& c, open_request& r, instant at)
{
    c.s.requests.wakes.erase({r.wake_at, r.arrived.handle});
    r.wake_at = at;
    c.s.requests.wakes.emplace(at, r.arrived.handle);
}

void give_answer(context& c, open_request& r, request_answer answer)
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
        finish_unknown(c, r, "sent, and its answer was lost; " + message);
        return;
    }
    leave_queue(c, r);
    request_answer answer{
        .handle = r.arrived.handle, .code = code, .status = 0, .body = nullptr, .message = message};
    if (may_hold_claim(r)) {
        r.claim->deferred = std::move(answer);
        settle_claim(c, r, claim_goal::release);
        return;
    }
    give_answer(c, r, std::move(answer));
    close(c, r.arrived.handle);
}

void finish_with_answer(context& c, open_request& r, int status, const body_text& body)
{
    request_answer answer{.handle = r.arrived.handle,
                          .code = result_code::ok,
                          .status = status,
                          .body = body,
                          .message = ""};
    give_answer(c, r, answer);
    if (r.claim && r.claim->version != 0) {
        r.claim->result = std::move(answer);
        answer_joined(c, r);
        settle_claim(c, r, claim_goal::store_answer);
        return;
    }
    close(c, r.arrived.handle);
}

void finish_unknown(context& c, open_request& r, const std::string& message)
{
    leave_queue(c, r);
    give_answer(c, r,
                {.handle = r.arrived.handle,
                 .code = result_code::outcome_unknown,
                 .status = 0,
                 .body = nullptr,
                 .message = message});
    if (r.claim && r.claim->version != 0) {
        answer_joined(c, r);
        settle_claim(c, r, claim_goal::mark_unknown);
        return;
    }
    close(c, r.arrived.handle);
}

void close(context& c, traffic_handle handle)
{
    auto& own = c.s.requests;
    const auto found = own.open.find(handle);
    const auto& r = found->second;
    own.wakes.erase({r.wake_at, handle});
    own.body_bytes -= r.arrived.body ? r.arrived.body->size() : 0;
    std::vector<traffic_handle> joined;
    if (r.claim) {
        joined = r.claim->joined;
        own.store_calls.erase(r.claim->call_number);
        const auto claim = own.claims.find(r.claim->key);
        if (claim != own.claims.end() && claim->second == handle) {
            own.claims.erase(claim);
        }
    }
    own.open.erase(found);
    restart_joined(c, joined);
}

} // namespace cuminmoor::requests
