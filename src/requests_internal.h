/// \file
/// The steps of the request path, shared among its source files.
///
/// A function that ends a request may erase it: whoever calls one of them looks the request up
/// anew.
#pragma once

#include <string>

#include "context.h"

namespace cuminmoor::requests {

// requests_end.cpp: answers and ends.

/// \return the open request, or nullptr.
open_request* find_open_request(context& c, traffic_handle handle);
/// Changes when the request is looked at next.
void set_timer(context& c, open_request& r, instant at);
/// Answers the caller, unless that was done or the caller went away.
void send_answer(context& c, open_request& r, request_answer answer);
/// Ends a request that was not run, or whose run may have been lost; releases its claim first.
void refuse(context& c, open_request& r, result_code code, const std::string& message);
/// Ends a request with the runner's whole answer.
void finish_with_answer(context& c, open_request& r, int status, const body_text& body);
/// Ends a request that was sent and whose answer will not come.
void finish_with_unknown_outcome(context& c, open_request& r, const std::string& message);
/// Forgets a request that needs nothing more; starts those anew that joined it in vain.
void close_request(context& c, traffic_handle handle);

// requests_routes.cpp: what follows from the membership.

/// Brings runners, slots and spill targets up to date.
/// \param list_read true when the platform's list was read in this step.
/// \param full false: only when a VM was added or began to leave, or this process was paused.
void refresh_routes(context& c, bool list_read, bool full);

// requests_admission.cpp: where a request goes.

/// Sends a new request on its way; also one whose dispatch did not run.
void route_request(context& c, open_request& r);
/// Sends it to an entry VM of another failure domain, if one takes it.
/// \return false when nothing was sent.
bool try_spill(context& c, open_request& r);
/// Lets it wait for a slot, and dispatches what can be dispatched.
void enqueue_request(context& c, open_request& r);

// requests_dispatch.cpp: queue to runner and back.

/// \return true when the service's estimate says that the deadline cannot be met after `wait`.
bool is_deadline_unreachable(const context& c, const service_state& service, instant deadline,
                             millis wait, bool contended);
/// Dispatches waiting requests as long as there are slots.
void dispatch_queued(context& c, const service_id& service);
void send_dispatch(context& c, open_request& r, const vm_id& to, bool to_entry_vm);
void on_dispatch_ended(context& c, const dispatch_ended& d);
/// A dispatch takes unusually long, its deadline has passed, or the time after it in which it
/// lingers.
void on_dispatch_timeout(context& c, open_request& r);
/// Frees the slots of lost dispatches whose time is over.
void release_held_slots(context& c);

// claims.cpp: from the claim to the right to dispatch.

/// Claims a non-idempotent request, or joins the same one if it is open here.
void begin_claim(context& c, open_request& r);
/// The next step of a claim after a pause.
void resume_claim(context& c, open_request& r);
/// The deadline has passed before the claim was ours.
void on_claim_deadline(context& c, open_request& r);
void on_claim_committed(context& c, const store_committed& e);
void on_claim_read(context& c, const store_read_done& e);

// claims_settle.cpp: the end of a claim.

/// \return true when a row of this claim is or may be in the store.
bool may_hold_claim(const open_request& r);
/// Writes the end of the request into its claim row, then forgets the request.
/// \param goal what to write.
void begin_settlement(context& c, open_request& r, settle_action action);
/// Sends the next store call of a settlement.
void continue_settlement(context& c, open_request& r);
/// The row is as it should be, or not ours.
void finish_settlement(context& c, open_request& r);
/// Answers those that joined: with the answer, or that the outcome is unknown.
void answer_joined_requests(context& c, open_request& r);

/// Sends a store call of a claim.
void send_claim_commit(context& c, open_request& r, claim_call call, transaction body,
                       instant not_after);
void send_claim_read(context& c, open_request& r);
/// Looks at the claim again after a pause that grows.
void retry_claim_later(context& c, open_request& r, millis base, millis cap);

} // namespace cuminmoor::requests
