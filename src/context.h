/// \file
/// Context of one reducer step and the handlers of the reducer's parts.
#pragma once

#include "cuminmoor/clock.h"
#include "cuminmoor/effect.h"
#include "cuminmoor/event.h"
#include "cuminmoor/policy.h"
#include "cuminmoor/state.h"

namespace cuminmoor {

/// Inputs and output of one step.
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

// The parts of the reducer. Every event is passed to each of them, in this order; a part ignores
// events that it does not handle.
void handle_configuration(context& c, const event& e);
void handle_membership(context& c, const event& e);
void handle_scheduler(context& c, const event& e);
void handle_requests(context& c, const event& e);
void handle_commands(context& c, const event& e);
void handle_shutdown(context& c, const event& e);

} // namespace cuminmoor
