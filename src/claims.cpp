/// \file
/// Acquiring claims for non-idempotent requests.
///
/// The claim row is committed, with the precondition that it is absent, before the single dispatch.
/// After an unknown outcome the same transaction is resent. After a conflict the row is read back,
/// and its nonce shows whether the claim is ours.
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
    set_timer(c, r, r.arrived.deadline);
    send_claim_commit(c, r, claim_call::claim, std::move(body), r.arrived.deadline);
}

void read_claim(context& c, open_request& r)
{
    r.phase = request_phase::reading_claim;
    set_timer(c, r, r.arrived.deadline);
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

void refuse_duplicate_id(context& c, open_request& r)
{
    refuse(c, r, result_code::duplicate_id,
           "request id " + r.arrived.id.value +
               " was used with another service or body; use a new id");
}

void answer_claimed_outcome_unknown(context& c, open_request& r, const std::string& message)
{
    send_answer(c, r,
                {.handle = r.arrived.handle,
                 .code = result_code::claimed_outcome_unknown,
                 .status = 0,
                 .body = nullptr,
                 .message = message});
    close_request(c, r.arrived.handle);
}

/// \return true if the same request is already open here and `r` was joined to it or answered.
bool join_open_request(context& c, open_request& r, const std::string& key,
                       const claim_record& record)
{
    auto& requests = c.s.requests;
    const auto found = requests.claims.find(key);
    if (found == requests.claims.end()) {
        return false;
    }
    auto& claim = *requests.open.at(found->second).claim;
    if (claim.record.service != record.service || claim.record.body_hash != record.body_hash) {
        refuse_duplicate_id(c, r);
        return true;
    }
    c.s.counters.add("request_joined");
    r.phase = request_phase::joined;
    set_timer(c, r, r.arrived.deadline);
    claim.joined_requests.push_back(r.arrived.handle);
    if (claim.action == settle_action::store_answer ||
        claim.action == settle_action::mark_unknown) {
        answer_joined_requests(c, requests.open.at(found->second));
    }
    return true;
}

/// The claim was not written, so another failure domain may still run the request.
void on_store_unavailable(context& c, open_request& r)
{
    const auto joined = std::move(r.claim->joined_requests);
    const auto handle = r.arrived.handle;
    c.s.requests.claims.erase(r.claim->key);
    r.claim.reset();
    if (!try_spill(c, r)) {
        refuse(c, r, result_code::store_unavailable,
               "the store is down, and without it the request could run twice; try again "
               "later");
    }
    for (const auto other : joined) {
        auto* j = find_open_request(c, other);
        if (j != nullptr && j->phase == request_phase::joined && other != handle) {
            j->phase = request_phase::queued;
            route_request(c, *j);
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
        settling ? continue_settlement(c, r) : enqueue_request(c, r);
        break;
    case store_outcome::conflict:
        claim.held_by_other_attempt = claim.held_by_other_attempt || !claim.write_unknown;
        settling ? continue_settlement(c, r) : read_claim(c, r);
        break;
    case store_outcome::unavailable:
    case store_outcome::invalid:
        if (settling && !claim.write_unknown) {
            finish_settlement(c, r);
        }
        else if (!claim.write_unknown && !claim.held_by_other_attempt) {
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

/// Handles a claim row that another attempt wrote.
void on_claim_held_by_other(context& c, open_request& r, const claim_record& other)
{
    r.claim->held_by_other_attempt = true;
    if (other.service != r.claim->record.service || other.body_hash != r.claim->record.body_hash) {
        r.claim->write_unknown = false;
        refuse_duplicate_id(c, r);
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
        r.claim->final_answer =
            request_answer{.handle = r.arrived.handle,
                           .code = result_code::ok,
                           .status = other.http_status,
                           .body = std::make_shared<const std::string>(other.body),
                           .message = ""};
        send_answer(c, r, *r.claim->final_answer);
        answer_joined_requests(c, r);
        close_request(c, r.arrived.handle);
        break;
    case claim_status::answer_too_large:
        answer_claimed_outcome_unknown(c, r,
                                       "the request ran, but its answer was too large to store");
        break;
    case claim_status::unknown:
        answer_claimed_outcome_unknown(
            c, r, "the request was sent earlier and its answer was lost; it may have run");
        break;
    }
}

void on_claim_row(context& c, open_request& r, const row& found)
{
    const auto record = decode_claim(found.value);
    if (!record.ok()) {
        answer_claimed_outcome_unknown(c, r, std::string{record.status().message()});
    }
    else if (record->written_by == r.claim->record.written_by) {
        r.claim->version = found.version;
        r.phase == request_phase::settling ? continue_settlement(c, r) : enqueue_request(c, r);
    }
    else if (r.phase == request_phase::settling) {
        finish_settlement(c, r);
    }
    else {
        on_claim_held_by_other(c, r, *record);
    }
}

void on_read(context& c, open_request& r, const store_read_done& e)
{
    if (!e.ok) {
        retry_claim_later(c, r, config::store_retry_base, config::store_retry_cap);
    }
    else if (!e.rows.empty()) {
        on_claim_row(c, r, e.rows.front());
    }
    else if (r.phase == request_phase::settling) {
        finish_settlement(c, r);
    }
    else {
        // The previous holder released the claim without running the request.
        r.claim->held_by_other_attempt = false;
        write_claim(c, r);
    }
}

/// Removes a pending store call.
/// \return the request that waits for it, or nullptr.
open_request* take_pending_call(context& c, const store_token& token, claim_call& call)
{
    if (token.user != store_user::requests) {
        return nullptr;
    }
    const auto found = c.s.requests.store_calls.find(token.number);
    if (found == c.s.requests.store_calls.end()) {
        return nullptr;
    }
    auto* r = find_open_request(c, found->second);
    c.s.requests.store_calls.erase(found);
    call = r->claim->call;
    r->claim->call = claim_call::none;
    return r;
}

void on_settle_written(context& c, open_request& r, store_outcome outcome)
{
    if (outcome == store_outcome::ok || outcome == store_outcome::conflict) {
        // A conflict means that an earlier identical write took effect, or that the row was
        // deleted.
        finish_settlement(c, r);
    }
    else {
        retry_claim_later(c, r, config::store_retry_base, config::store_retry_cap);
    }
}

} // namespace

void begin_claim(context& c, open_request& r)
{
    auto& requests = c.s.requests;
    const auto key = claim_key(r.arrived.caller, r.arrived.id);
    auto record = new_record(c, r.arrived);
    if (join_open_request(c, r, key, record)) {
        return;
    }
    if (requests.claims.size() >= config::max_open_claims) {
        refuse(c, r, result_code::store_unavailable,
               "too many requests wait for the store; try again later");
        return;
    }
    r.claim.emplace();
    r.claim->key = key;
    r.claim->record = std::move(record);
    requests.claims[key] = r.arrived.handle;
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
        if (r.claim->deferred_refusal && r.arrived.deadline <= c.now) {
            send_answer(c, r, *std::exchange(r.claim->deferred_refusal, std::nullopt));
        }
        continue_settlement(c, r);
        break;
    default:
        break;
    }
}

void on_claim_deadline(context& c, open_request& r)
{
    if (r.phase == request_phase::joined || r.claim->held_by_other_attempt) {
        answer_claimed_outcome_unknown(
            c, r, "another attempt of this request holds its claim; it may have run");
        return;
    }
    refuse(c, r, result_code::store_unavailable,
           "the store did not answer in time; try again later or allow more time");
}

void on_claim_committed(context& c, const store_committed& e)
{
    claim_call call{claim_call::none};
    auto* r = take_pending_call(c, e.token, call);
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
    if (auto* r = take_pending_call(c, e.token, call)) {
        on_read(c, *r, e);
    }
}

} // namespace cuminmoor::requests
