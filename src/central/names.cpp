/// \file
/// Names of enumerators. A switch without a default: an enumerator without a name does not compile.
#include "cuminmoor/central/names.h"

namespace cuminmoor::central {

const char* name_of(call_kind kind)
{
    switch (kind) {
    case call_kind::submit:
        return "submit";
    case call_kind::query:
        return "query";
    case call_kind::cancel:
        return "cancel";
    case call_kind::count_pending:
        return "count_pending";
    }
    return "";
}

const char* name_of(call_result result)
{
    switch (result) {
    case call_result::accepted:
        return "accepted";
    case call_result::state:
        return "state";
    case call_result::pending:
        return "pending";
    case call_result::cancelled:
        return "cancelled";
    case call_result::unknown_job:
        return "unknown_job";
    case call_result::unknown_queue:
        return "unknown_queue";
    case call_result::malformed:
        return "malformed";
    case call_result::overloaded:
        return "overloaded";
    case call_result::unavailable:
        return "unavailable";
    case call_result::outcome_unknown:
        return "outcome_unknown";
    case call_result::not_scheduler:
        return "not_scheduler";
    case call_result::unauthenticated:
        return "unauthenticated";
    }
    return "";
}

const char* name_of(order_kind kind)
{
    switch (kind) {
    case order_kind::start:
        return "start";
    case order_kind::stop:
        return "stop";
    case order_kind::pace:
        return "pace";
    }
    return "";
}

const char* name_of(order_result result)
{
    switch (result) {
    case order_result::done:
        return "done";
    case order_result::fenced:
        return "fenced";
    case order_result::superseded:
        return "superseded";
    case order_result::expired:
        return "expired";
    case order_result::no_capacity:
        return "no_room";
    case order_result::unhealthy:
        return "unwell";
    case order_result::other_incarnation:
        return "other_life";
    case order_result::malformed:
        return "malformed";
    case order_result::not_sent:
        return "not_sent";
    case order_result::unknown:
        return "unknown";
    }
    return "";
}

const char* name_of(store_outcome outcome)
{
    switch (outcome) {
    case store_outcome::ok:
        return "ok";
    case store_outcome::conflict:
        return "conflict";
    case store_outcome::unavailable:
        return "unavailable";
    case store_outcome::invalid:
        return "invalid";
    case store_outcome::unknown:
        return "unknown";
    }
    return "";
}

const char* name_of(role r)
{
    switch (r) {
    case role::follower:
        return "follower";
    case role::reading_head:
        return "reading_head";
    case role::claiming:
        return "claiming";
    case role::loading:
        return "loading";
    case role::scheduler:
        return "scheduler";
    }
    return "";
}

namespace {

/// An overload for each event: one without a name does not compile.
struct event_name {
    const char* operator()(const tick& /*e*/) const { return "tick"; }
    const char* operator()(const stop_requested& /*e*/) const { return "stop_requested"; }
    const char* operator()(const caller_call& /*e*/) const { return "caller_call"; }
    const char* operator()(const peer_call_received& /*e*/) const { return "peer_call"; }
    const char* operator()(const peer_call_ended& /*e*/) const { return "peer_call_ended"; }
    const char* operator()(const rows_committed& /*e*/) const { return "rows_committed"; }
    const char* operator()(const rows_read_done& /*e*/) const { return "rows_read"; }
    const char* operator()(const registry_changed& /*e*/) const { return "register_changed"; }
    const char* operator()(const operator_changed& /*e*/) const { return "operator_changed"; }
    const char* operator()(const control_changed& /*e*/) const { return "control_changed"; }
    const char* operator()(const store_reachable& /*e*/) const { return "store_reachable"; }
    const char* operator()(const runner_order_ended& /*e*/) const { return "order_ended"; }
    const char* operator()(const runner_hold_ended& /*e*/) const { return "hold_ended"; }
};

} // namespace

const char* name_of(const event& e)
{
    return std::visit(event_name{}, e);
}

} // namespace cuminmoor::central
