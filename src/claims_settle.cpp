/// \file
/// Settling claims: the row is deleted if nothing ran; otherwise the answer is stored, or the
/// outcome is marked as unknown.
///
/// Every write has our row version as its precondition, so that a delayed write cannot modify the
/// claim of a later attempt.
#include <algorithm>

#include "requests_internal.h"

namespace cuminmoor::requests {

namespace {

constexpr std::uint32_t max_doublings{10};

void apply_goal(open_request& r)
{
    auto& record = r.claim->record;
    if (r.claim->action == settle_action::mark_unknown) {
        record.status = claim_status::unknown;
        return;
    }
    const auto& result = *r.claim->final_answer;
    const std::size_t size = result.body ? result.body->size() : 0;
    record.http_status = result.status;
    record.status = claim_status::done;
    if (size > config::max_stored_answer_bytes) {
        record.status = claim_status::answer_too_large;
    }
    else if (result.body) {
        record.body = *result.body;
    }
}

instant give_up_at(const context& c, const claim_progress& claim)
{
    return claim.settling_since + (c.s.stopping ? config::claim_settle_patience_when_stopping
                                                : config::claim_settle_patience);
}

std::uint64_t register_call(context& c, open_request& r, claim_call call)
{
    auto& requests = c.s.requests;
    r.claim->call = call;
    r.claim->call_number = requests.next_store_call++;
    requests.store_calls[r.claim->call_number] = r.arrived.handle;
    return r.claim->call_number;
}

} // namespace

bool may_hold_claim(const open_request& r)
{
    return r.claim &&
           (r.claim->version != 0 || r.claim->write_unknown || r.claim->call == claim_call::claim);
}

void begin_settlement(context& c, open_request& r, settle_action action)
{
    auto& claim = *r.claim;
    r.phase = request_phase::settling;
    claim.action = action;
    claim.settling_since = c.now;
    claim.store_attempts = 0;
    if (action != settle_action::release) {
        apply_goal(r);
        answer_joined_requests(c, r);
    }
    if (claim.deferred_refusal && (r.answered || r.arrived.deadline <= c.now)) {
        send_answer(c, r, *std::exchange(claim.deferred_refusal, std::nullopt));
    }
    continue_settlement(c, r);
}

void continue_settlement(context& c, open_request& r)
{
    auto& claim = *r.claim;
    set_timer(c, r, claim.deferred_refusal ? r.arrived.deadline : never);
    if (claim.call != claim_call::none) {
        return;
    }
    if (give_up_at(c, claim) <= c.now) {
        c.s.counters.add("claim_settle_given_up");
        finish_settlement(c, r);
    }
    else if (claim.version == 0) {
        send_claim_read(c, r);
    }
    else {
        transaction body{.preconditions = {{claim.key, claim.version}},
                         .writes = {{claim.key, {}}}};
        if (claim.action != settle_action::release) {
            body.writes.front().value = encode_claim(claim.record);
        }
        send_claim_commit(c, r, claim_call::settle, std::move(body), never);
    }
}

void finish_settlement(context& c, open_request& r)
{
    if (r.claim->deferred_refusal) {
        send_answer(c, r, *r.claim->deferred_refusal);
    }
    close_request(c, r.arrived.handle);
}

void answer_joined_requests(context& c, open_request& r)
{
    const auto joined = std::exchange(r.claim->joined_requests, {});
    const auto& result = r.claim->final_answer;
    for (const auto handle : joined) {
        auto* other = find_open_request(c, handle);
        if (other == nullptr || other->phase != request_phase::joined) {
            continue;
        }
        send_answer(c, *other,
                    result ? *result
                           : request_answer{
                                 .handle = handle,
                                 .code = result_code::claimed_outcome_unknown,
                                 .status = 0,
                                 .body = nullptr,
                                 .message = "the request was sent earlier and its answer was lost; "
                                            "it may have run"});
        close_request(c, handle);
    }
}

void send_claim_commit(context& c, open_request& r, claim_call call, transaction body,
                       instant not_after)
{
    const auto number = register_call(c, r, call);
    c.out.add(store_commit{.token = {store_user::requests, number}, .body = std::move(body)},
              not_after);
}

void send_claim_read(context& c, open_request& r)
{
    const auto number = register_call(c, r, claim_call::read);
    c.out.add(
        store_read{.token = {store_user::requests, number}, .keys = {r.claim->key}, .ranges = {}});
}

void retry_claim_later(context& c, open_request& r, millis base, millis cap)
{
    auto& claim = *r.claim;
    const auto doublings = std::min(claim.store_attempts, max_doublings);
    ++claim.store_attempts;
    const std::int64_t pause = std::min(base.count << doublings, cap.count);
    const auto spread = static_cast<std::int64_t>(jitter(c.s, static_cast<std::uint64_t>(pause)));
    const instant at = c.now + millis{pause / 2 + spread / 2 + 1};
    const bool bounded = r.phase != request_phase::settling || claim.deferred_refusal;
    set_timer(c, r, bounded ? std::min(at, r.arrived.deadline) : at);
}

} // namespace cuminmoor::requests
