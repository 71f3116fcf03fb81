/// \file
/// Claims of non-idempotent requests: from the first write to the right to dispatch.
///
/// The claim row is committed under the precondition that it is absent, before the one dispatch.
/// After an unknown outcome the same transaction is sent again; a conflict is read back, and the
/// nonce tells whether the row is ours.
#include <algorithm>

#include "requests_internal.h"

namespace cuminmoor::requests {

namespace {

void write_claim(context& c, open_request& r)
{
    r.phase = request_phase::claiming;
    const auto& claim = *r.claim;
    transaction body{.preconditions = {{claim.key, 0}},
                     .writes = {{claim.key, encode_claim(claim.record)}}};
    set_wake(c, r, r.arrived.deadline);
    send_claim_commit(c, r, claim_call::claim, std::move(body), r.arrived.deadline);
}

void read_claim(context& c, open_request& r)
{
    r.phase = request_phase::reading_claim;
    set_wake(c, r, r.arrived.deadline);
    send_claim_read(c, r);
}

claim_record new_record(context& c, const request_arrived& a)
{
    const auto& self = c.s.self;
    claim_record record;
    record.written_by = {self.vm.value + "/" + std::to_string(self.incarnation) + "/" +
                         std::to_string(c.s.requests.next_nonce++)};
    record.service = a.service;
    record.body_hash = a.body ? hash_body(*a.body) : 0;
    return record;
}

void refuse_other_request(context& c, open_request& r)
{
    refuse(c, r, result_code::duplicate_id,
           "request id " + r.arrived.id.value +
               " was used with another service or body; use a new id");
}

void end_unknown(context& c, open_request& r, const std::string& message)
{
    give_answer(c, r,
                {.handle = r.arrived.handle,
                 .code = result_code::claimed_outcome_unknown,
                 .status = 0,
                 .body = nullptr,
                 .message = message});
    close(c, r.arrived.handle);
}

/// \return true when the same request is open here and `r` was joined to it or answered.
bool join_open_request(context& c, open_request& r, const std::string& key,
                       const claim_record& record)
{
    auto& own = c.s.requests;
    const auto found = own.claims.find(key);
    if (found == own.claims.end()) {
        return false;
    }
    auto& claim = *own.open.at(found->second).claim;
    if (claim.record.service != record.service || claim.record.body_hash != record.body_hash) {
        refuse_other_request(c, r);
        return true;
    }
    c.s.counters.add("request_joined");
    r.phase = request_phase::joined;
    set_wake(c, r, r.arrived.deadline);
    claim.joined.push_back(r.arrived.handle);
    if (claim.goal == claim_goal::store_answer || claim.goal == claim_goal::mark_unknown) {
        answer_joined(c, own.open.at(found->second));
    }
    return true;
}

/// The store took nothing of this claim, so another failure domain may still try.
void on_store_unavailable(context& c, open_request& r)
{
    const auto joined = std::move(r.claim->joined);
    const auto handle = r.arrived.handle;
    c.s.requests.claims.erase(r.claim->key);
    r.claim.reset();
    if (!try_spill(c, r)) {
        refuse(c, r, result_code::store_unavailable,
               "the store is down, and without it the request could run twice; try again later");
    }
    for (const auto other : joined) {
        auto* j = find_open(c, other);
        if (j != nullptr && j->phase == request_phase::joined && other != handle) {
            j->phase = request_phase::queued;
            route(c, *j);
        }
    }
}

void on_claim_written(context& c, open_request& r, const store_committed& e)
{
    auto& claim = *r.claim;
    const bool settling = r.phase == request_phase::settling;
    switch (e.outcome) {
    case store_outcome::ok:
        claim.version = e.revision;
        settling ? settle_step(c, r) : enqueue(c, r);
        break;
    case store_outcome::conflict:
        claim.seen_elsewhere = claim.seen_elsewhere || !claim.write_unknown;
        settling ? settle_step(c, r) : read_claim(c, r);
        break;
    case store_outcome::unavailable:
        if (settling && !claim.write_unknown) {
            finish_settlement(c, r);
        }
        else if (!claim.write_unknown && !claim.seen_elsewhere) {
            on_store_unavailable(c, r);
        }
        else {
            retry_claim_later(c, r, config::store_retry_base, config::store_retry_cap);
        }
        break;
    case store_outcome::unknown:
        claim.write_unknown = true;
        c.s.counters.add("claim_write_unknown");
        retry_claim_later(c, r, config::store_retry_base, config::store_retry_cap);
        break;
    }
}

/// The row is held by another attempt.
void on_claimed_elsewhere(context& c, open_request& r, const claim_record& other)
{
    r.claim->seen_elsewhere = true;
    if (other.service != r.claim->record.service || other.body_hash != r.claim->record.body_hash) {
        r.claim->write_unknown = false;
        refuse_other_request(c, r);
        return;
    }
    switch (other.status) {
    case claim_status::open:
        r.phase = request_phase::polling_claim;
        c.s.counters.add("claim_poll");
        retry_claim_later(c, r, config::claim_poll_base, config::claim_poll_cap);
        break;
    case claim_status::done:
        c.s.counters.add("request_answered_from_claim");
        r.claim->result = request_answer{.handle = r.arrived.handle,
                                         .code = result_code::ok,
                                         .status = other.http_status,
                                         .body = std::make_shared<const std::string>(other.body),
                                         .message = ""};
        give_answer(c, r, *r.claim->result);
        answer_joined(c, r);
        close(c, r.arrived.handle);
        break;
    case claim_status::answer_too_large:
        end_unknown(c, r, "it ran once; its answer was too large to keep");
        break;
    case claim_status::unknown:
        end_unknown(c, r, "it was sent once, and its answer was lost; it may have run");
        break;
    }
}

void on_row(context& c, open_request& r, const row& found)
{
    const auto record = decode_claim(found.value);
    if (!record.ok()) {
        end_unknown(c, r, std::string{record.status().message()});
    }
    else if (record->written_by == r.claim->record.written_by) {
        r.claim->version = found.version;
        r.phase == request_phase::settling ? settle_step(c, r) : enqueue(c, r);
    }
    else if (r.phase == request_phase::settling) {
        finish_settlement(c, r);
    }
    else {
        on_claimed_elsewhere(c, r, *record);
    }
}

void on_read(context& c, open_request& r, const store_read_done& e)
{
    if (!e.ok) {
        retry_claim_later(c, r, config::store_retry_base, config::store_retry_cap);
    }
    else if (!e.rows.empty()) {
        on_row(c, r, e.rows.front());
    }
    else if (r.phase == request_phase::settling) {
        finish_settlement(c, r);
    }
    else {
        // Whoever held the claim released it without having run the request.
        r.claim->seen_elsewhere = false;
        write_claim(c, r);
    }
}

/// \return the request that waits for the store call, or nullptr.
open_request* take_call(context& c, const store_token& token, claim_call& call)
{
    if (token.user != store_user::requests) {
        return nullptr;
    }
    const auto found = c.s.requests.store_calls.find(token.number);
    if (found == c.s.requests.store_calls.end()) {
        return nullptr;
    }
    auto* r = find_open(c, found->second);
    c.s.requests.store_calls.erase(found);
    call = r->claim->call;
    r->claim->call = claim_call::none;
    return r;
}

void on_settle_written(context& c, open_request& r, store_outcome outcome)
{
    if (outcome == store_outcome::ok || outcome == store_outcome::conflict) {
        // A conflict: an earlier write of the same took effect, or the row is gone.
        finish_settlement(c, r);
    }
    else {
        retry_claim_later(c, r, config::store_retry_base, config::store_retry_cap);
    }
}

} // namespace

void begin_claim(context& c, open_request& r)
{
    auto& own = c.s.requests;
    const auto key = claim_key(r.arrived.caller, r.arrived.id);
    auto record = new_record(c, r.arrived);
    if (join_open_request(c, r, key, record)) {
        return;
    }
    if (own.claims.size() >= config::max_open_claims) {
        refuse(c, r, result_code::store_unavailable,
               "too many requests wait for the store; try again later");
        return;
    }
    r.claim.emplace();
    r.claim->key = key;
    r.claim->record = std::move(record);
    own.claims[key] = r.arrived.handle;
    write_claim(c, r);
}

void resume_claim(context& c, open_request& r)
{
    switch (r.phase) {
    case request_phase::claiming:
        write_claim(c, r);
        break;
    case request_phase::reading_claim:
    case request_phase::polling_claim:
        read_claim(c, r);
        break;
    case request_phase::settling:
        if (r.claim->deferred && r.arrived.deadline <= c.now) {
            give_answer(c, r, *std::exchange(r.claim->deferred, std::nullopt));
        }
        settle_step(c, r);
        break;
    default:
        break;
    }
}

void expire_claim(context& c, open_request& r)
{
    if (r.phase == request_phase::joined || r.claim->seen_elsewhere) {
        end_unknown(c, r, "another attempt of this request holds its claim; it may have run");
        return;
    }
    refuse(c, r, result_code::store_unavailable,
           "the store did not answer in time; try again later or allow more time");
}

void on_claim_committed(context& c, const store_committed& e)
{
    claim_call call{claim_call::none};
    auto* r = take_call(c, e.token, call);
    if (r == nullptr) {
        return;
    }
    if (call == claim_call::claim) {
        on_claim_written(c, *r, e);
    }
    else {
        on_settle_written(c, *r, e.outcome);
    }
}

void on_claim_read(context& c, const store_read_done& e)
{
    claim_call call{claim_call::none};
    if (auto* r = take_call(c, e.token, call)) {
        on_read(c, *r, e);
    }
}

} // namespace cuminmoor::requests
