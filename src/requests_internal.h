/// \file
/// Internal functions of the request path, shared among its source files.
///
/// A function that ends a request may erase it. Callers must look the request up again afterwards.
#pragma once

#include <string>

#include "context.h"

namespace cuminmoor::requests {

// requests_end.cpp: answers and the end of requests.

/// \return the open request, or nullptr.
open_request* find_open_request(context& c, traffic_handle handle);
/// Sets the request's timer.
void set_timer(context& c, open_request& r, instant at);
/// Answers the caller, unless the request was already answered or abandoned.
void send_answer(context& c, open_request& r, request_answer answer);
/// Ends a request that was not run, after releasing its claim. If a dispatch was lost, the outcome
/// is reported as unknown instead.
void refuse(context& c, open_request& r, result_code code, const std::string& message);
/// Ends a request with the runner's complete answer.
void finish_with_answer(context& c, open_request& r, int status, const body_text& body);
/// Ends a request that was sent but will get no answer.
void finish_with_unknown_outcome(context& c, open_request& r, const std::string& message);
/// Erases a request and routes the requests that are still joined to it again.
void close_request(context& c, traffic_handle handle);

// requests_routes.cpp: routing tables derived from the membership.

/// Updates runners, slots and spill targets.
/// \param list_read true if the platform's VM list was read in this step.
/// \param full if false, updates only after a VM was added or began to leave, or after a process
/// pause.
void refresh_routes(context& c, bool list_read, bool full);

// requests_admission.cpp: routing and admission.

/// Routes a new request, or one whose dispatch did not run.
void route_request(context& c, open_request& r);
/// Sends the request to an entry VM of another failure domain, if one is available.
/// \return false if nothing was sent.
bool try_spill(context& c, open_request& r);
/// Adds the request to the queue of its service and dispatches queued requests to free slots.
void enqueue_request(context& c, open_request& r);

// requests_dispatch.cpp: dispatches and retries.

/// \return true if the deadline is unlikely to be met after `wait`, by the service time estimate.
/// \param contended true if other requests compete for the slot.
bool is_deadline_unreachable(const context& c, const service_state& service, instant deadline,
                             millis wait, bool contended);
/// Dispatches queued requests while slots are free.
void dispatch_queued(context& c, const service_id& service);
void send_dispatch(context& c, open_request& r, const vm_id& to, bool to_entry_vm);
void on_dispatch_ended(context& c, const dispatch_ended& d);
/// Handles the timer of a dispatch: it is unusually slow, its deadline has passed, or the grace
/// period after the deadline has ended.
void on_dispatch_timeout(context& c, open_request& r);
/// Releases the slots of lost dispatches whose hold time has ended.
void release_held_slots(context& c);

// claims.cpp: acquiring a claim.

/// Claims a non-idempotent request, or joins it to the same request if that is already open here.
void begin_claim(context& c, open_request& r);
/// Continues a claim or settlement after a retry delay.
void resume_claim(context& c, open_request& r);
/// Ends a request whose deadline passed before it acquired the claim.
void on_claim_deadline(context& c, open_request& r);
void on_claim_committed(context& c, const store_committed& e);
void on_claim_read(context& c, const store_read_done& e);

// claims_settle.cpp: settling a claim.

/// \return true if the store contains or may contain this claim's row.
bool may_hold_claim(const open_request& r);
/// Starts writing the outcome to the claim row; the request is closed afterwards.
/// \param action write to perform.
void begin_settlement(context& c, open_request& r, settle_action action);
/// Sends the next store call of a settlement.
void continue_settlement(context& c, open_request& r);
/// Ends a settlement: the row is up to date, is not ours, or the time limit has passed.
void finish_settlement(context& c, open_request& r);
/// Answers the joined requests with the final answer, or with an unknown outcome if there is none.
void answer_joined_requests(context& c, open_request& r);

/// Sends a store commit for a claim.
void send_claim_commit(context& c, open_request& r, claim_call call, transaction body,
                       instant not_after);
void send_claim_read(context& c, open_request& r);
/// Retries a claim's store call after a randomized exponential back-off.
void retry_claim_later(context& c, open_request& r, millis base, millis cap);

} // namespace cuminmoor::requests
