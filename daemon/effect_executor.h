/// \file
/// Executes the core's effects as I/O.
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

/// Components that effects act on.
struct effect_targets {
    platform_client& platform;
    worker_client& workers;
    runner_client& runners;
    peer_transport& peers;
    open_calls& calls;
    metrics& process_metrics;
};

/// For the control thread only. An effect past its `not_after` is not executed; the core gets the
/// event that says that the effect certainly did not happen.
class effect_executor {
public:
    effect_executor(const effect_targets& targets, clock_source& clock, event_sink& sink);

    /// \param s state with the VMs' addresses and the counters.
    /// \return true when the effect was `shutdown_complete`.
    bool execute(const effect& e, state& s);

private:
    void report_expired(const effect& e, state& s);

    // One overload per kind of effect.
    void run(const store_commit& body);
    void run(const store_read& body);
    void run(const object_put& body);
    void run(const object_get& body);
    void run(const vm_list_read& body);
    void run(const peer_send& body);
    void run(const worker_sync& body);
    void run(const request_dispatch& body);
    void run(const request_drop_dispatch& body);
    void run(const request_answer& body);
    void run(const command_answer& body);
    void run(const log_event& body);
    void run(const shutdown_complete& body);

    // Each posts the event that an effect was certainly not executed. Other kinds expire silently.
    void report_not_executed(const store_commit& body);
    void report_not_executed(const store_read& body);
    void report_not_executed(const object_put& body);
    void report_not_executed(const object_get& body);
    void report_not_executed(const vm_list_read& body);
    void report_not_executed(const worker_sync& body);
    void report_not_executed(const request_dispatch& body);

    [[nodiscard]] std::string http_address_of(const vm_id& vm) const;
    void log_outcome(const char* event_name, const open_call& call, result_code code);

    effect_targets targets_;
    clock_source& clock_;
    event_sink& sink_;
    // Set during `execute`.
    instant not_after_;
    const state* state_{nullptr};
    bool is_complete_{false};
    log_limiter outcome_log_limiter_;
};

} // namespace cuminmoor::io
