/// \file
/// The daemon under domain scheduling: creates, connects and destroys its components.
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

    /// Binds the addresses and starts all threads except the control thread.
    /// \return an error when an address cannot be bound.
    absl::Status start();

    /// Runs the control loop on the calling thread. Returns after a shutdown, once all calls are
    /// answered and their responses are flushed or `flush_timeout` has passed.
    void run();

    /// Starts a graceful shutdown. Thread-safe.
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

    // Declared in this order because members are destroyed in reverse: the HTTP clients stop their
    // threads before the objects that their callbacks use are destroyed.
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
