/// \file
/// Turns effects into I/O.
#pragma once

#include <string>

#include "cuminmoor/clock.h"
#include "cuminmoor/effect.h"
#include "cuminmoor/state.h"
#include "event_sink.h"
#include "log_limiter.h"
#include "metrics.h"
#include "open_calls.h"
#include "peer_transport.h"
#include "platform_client.h"
#include "runner_client.h"
#include "worker_client.h"

namespace cuminmoor::io {

/// What effects act on.
struct effect_targets {
    platform_client& platform;
    worker_client& workers;
    runner_client& runners;
    peer_transport& peers;
    open_calls& calls;
    metrics& measured;
};

/// Used by the control thread only. An effect past its `not_after` is not carried out; its part of
/// the core is told so by the event that says "certainly nothing happened".
class effect_executor {
public:
    effect_executor(const effect_targets& targets, clock_source& clock, event_sink& sink);

    /// \param s where addresses are looked up.
    /// \return true when the effect was `shutdown_complete`.
    bool execute(const effect& e, state& s);

private:
    void drop(const effect& e, state& s);

    // One for each kind of effect.
    void run(const store_commit& what);
    void run(const store_read& what);
    void run(const object_put& what);
    void run(const object_get& what);
    void run(const vm_list_read& what);
    void run(const peer_send& what);
    void run(const worker_sync& what);
    void run(const request_dispatch& what);
    void run(const request_drop_dispatch& what);
    void run(const request_answer& what);
    void run(const command_answer& what);
    void run(const log_event& what);
    void run(const shutdown_complete& what);

    // What is told when it was not carried out.
    void refuse(const store_commit& what);
    void refuse(const store_read& what);
    void refuse(const object_put& what);
    void refuse(const object_get& what);
    void refuse(const vm_list_read& what);
    void refuse(const worker_sync& what);
    void refuse(const request_dispatch& what);

    [[nodiscard]] std::string http_address_of(const vm_id& vm) const;
    void log_end(const char* event_name, const open_call& call, result_code code);

    effect_targets targets_;
    clock_source& clock_;
    event_sink& sink_;
    /// Set during `execute`.
    instant not_after_;
    const state* state_{nullptr};
    bool is_complete_{false};
    log_limiter refusal_log_;
};

} // namespace cuminmoor::io
