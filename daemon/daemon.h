/// \file
/// The daemon as a whole: its parts, made and ended in the right order.
#pragma once

#include <memory>

#include "absl/status/statusor.h"
#include "api_handler.h"
#include "control_loop.h"
#include "settings.h"
#include "system_clock.h"

namespace cuminmoor::io {

class daemon_process {
public:
    explicit daemon_process(const settings& s);

    /// Binds the addresses and starts all threads but the control thread.
    absl::Status start();

    /// The control thread's work; returns when the shutdown is complete and all is answered.
    void run();

    /// From any thread.
    void request_shutdown();

private:
    settings settings_;
    system_clock clock_;
    policy_set policies_;
    reducer reducer_;
    metrics metrics_;
    open_calls calls_;
    control_loop loop_;
    api_handler api_;

    // Destroyed from the last to the first: the HTTP clients end, with their threads, before what
    // their callbacks use.
    std::unique_ptr<peer_transport> peers_;
    std::unique_ptr<platform_client> platform_;
    std::unique_ptr<worker_client> workers_;
    std::unique_ptr<runner_client> runners_;
    std::unique_ptr<http_client> control_http_;
    std::unique_ptr<http_client> traffic_http_;
    std::unique_ptr<effect_executor> executor_;
    std::unique_ptr<http_server> server_;
};

} // namespace cuminmoor::io
