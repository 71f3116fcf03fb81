/// \file
/// Calls from callers and peers: answered here, or forwarded to the scheduler.
#pragma once

#include "central/context.h"

namespace cuminmoor::central {

void on_caller_call(const context& c, const caller_call& e);
void on_peer_call(const context& c, const peer_call_received& e);
void on_peer_call_ended(const context& c, const peer_call_ended& e);
void check_calls(const context& c);
/// Answers every open call: `outcome_unknown` if it may have been accepted, otherwise
/// `unavailable`.
void answer_all_open_calls(const context& c);
/// Answers and closes an open call; no effect if it is closed already.
void answer(const context& c, call_handle handle, const call_answer& a);

} // namespace cuminmoor::central
