/// \file
/// What the central scheduler's process needs of the deployment around it. One implementation
/// stands for one deployment's protocols.
#pragma once

#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "absl/status/statusor.h"
#include "cuminmoor/central/state.h"
#include "http_client.h"
#include "line_log.h"
#include "settings.h"

namespace cuminmoor::io {

/// Takes events; on the thread of the event loop only.
class central_event_sink {
public:
    central_event_sink() = default;
    central_event_sink(const central_event_sink&) = delete;
    central_event_sink& operator=(const central_event_sink&) = delete;
    central_event_sink(central_event_sink&&) = delete;
    central_event_sink& operator=(central_event_sink&&) = delete;
    virtual ~central_event_sink() = default;

    virtual void post(central::event e) = 0;
    /// \return a number for a call that is to be answered.
    virtual central::call_handle next_handle() = 0;
    /// \return true while new connections are welcome.
    [[nodiscard]] virtual bool is_ready() const = 0;
};

/// The store, the runners and the callers of one deployment.
class deployment {
public:
    deployment() = default;
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;
    virtual ~deployment() = default;

    /// Listens to callers, and follows what is followed from the start on.
    virtual absl::Status start() = 0;
    virtual void execute(const central::rows_commit& e) = 0;
    virtual void execute(const central::rows_read& e) = 0;
    virtual void execute(const central::watch_registry& e) = 0;
    virtual void execute(const central::runner_order& e) = 0;
    virtual void execute(const central::runner_hold& e) = 0;
    /// \return false when the handle is not a caller's.
    virtual bool answer(const central::answer_call& e) = 0;
    /// Answers of callers that are on their way count.
    [[nodiscard]] virtual bool is_flushed() = 0;
};

/// What a deployment is built with; all outlive it.
struct deployment_dependencies {
    asio::io_context& context;
    clock_source& clock;
    http_client& http;
    central_event_sink& sink;
    line_log& log;
    const settings& process_settings;
};

/// Makes the deployment that is linked into this program.
std::unique_ptr<deployment> make_deployment(const deployment_dependencies& dependencies);

} // namespace cuminmoor::io
