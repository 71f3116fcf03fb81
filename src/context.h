/// \file
/// What each part of the reducer works on during one step.
#pragma once

#include "cuminmoor/clock.h"
#include "cuminmoor/effect.h"
#include "cuminmoor/event.h"
#include "cuminmoor/policy.h"
#include "cuminmoor/state.h"

namespace cuminmoor {

/// One step's inputs and its output.
struct context {
    state& s;
    instant now;
    const policy_set& policies;
    effect_buffer& out;
};

/// Combines lambdas into one visitor.
template <typename... Fs>
struct overloaded : Fs... {
    using Fs::operator()...;
};
template <typename... Fs>
overloaded(Fs...) -> overloaded<Fs...>;

// The parts. Each gets every event, in this order, and ignores what is not its own.
void handle_configuration(context& c, const event& e);
void handle_membership(context& c, const event& e);
void handle_scheduler(context& c, const event& e);
void handle_requests(context& c, const event& e);
void handle_commands(context& c, const event& e);
void handle_shutdown(context& c, const event& e);

} // namespace cuminmoor
