/// \file
/// Interfaces between the central scheduler's process and the deployment that it runs in. Each
/// implementation of `deployment` speaks the protocols of one deployment.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>

#include "absl/status/statusor.h"
#include "connection_budget.h"
#include "cuminmoor/central/state.h"
#include "http_client.h"
#include "line_log.h"
#include "settings.h"

namespace cuminmoor::io {

/// Queues events for the reducer. Must be called on the thread of the event loop.
class central_event_sink {
public:
    central_event_sink() = default;
    central_event_sink(const central_event_sink&) = delete;
    central_event_sink& operator=(const central_event_sink&) = delete;
    central_event_sink(central_event_sink&&) = delete;
    central_event_sink& operator=(central_event_sink&&) = delete;
    virtual ~central_event_sink() = default;

    virtual void post(central::event e) = 0;
    /// \return a unique handle for an incoming call.
    virtual central::call_handle next_handle() = 0;
    /// \return true while this VM accepts calls; the load balancer asks for it.
    [[nodiscard]] virtual bool is_ready() const = 0;
    /// \return false if a call to that address with that credential is refused whatever its body
    /// is.
    [[nodiscard]] virtual bool may_call(std::string_view host, std::string_view path,
                                        const central::credential& key) const = 0;
    /// \return true once a shutdown was requested.
    [[nodiscard]] virtual bool is_stopping() const = 0;
};

/// Connects the scheduler to the store, the runners and the callers of one deployment.
class deployment {
public:
    deployment() = default;
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;
    virtual ~deployment() = default;

    /// Starts the servers for callers, and the feeds that run for the life of the process.
    /// \return an error when an address cannot be bound.
    virtual absl::Status start() = 0;
    virtual void execute(const central::rows_commit& e) = 0;
    virtual void execute(const central::rows_read& e) = 0;
    virtual void execute(const central::watch_registry& e) = 0;
    virtual void execute(const central::runner_order& e) = 0;
    virtual void execute(const central::runner_hold& e) = 0;
    /// Responds to a caller.
    /// \return false when no caller's call has this handle.
    virtual bool answer(const central::answer_call& e) = 0;
    /// \return true when all responses to callers have been written out.
    [[nodiscard]] virtual bool is_flushed() = 0;
    /// \return the number of callers' calls without a response.
    [[nodiscard]] virtual std::size_t unanswered_calls() const = 0;
    /// \return the number of open connections of callers.
    [[nodiscard]] virtual std::size_t open_connections() const = 0;
};

/// Dependencies of a deployment; all must outlive it.
struct deployment_dependencies {
    asio::io_context& context;
    clock_source& clock;
    http_client& http;
    central_event_sink& sink;
    line_log& log;
    const settings& process_settings;
    /// Shared by all servers; null: each has its own.
    connection_budget* budget{nullptr};
};

/// Creates the deployment that is linked into this program.
std::unique_ptr<deployment> make_deployment(const deployment_dependencies& dependencies);

} // namespace cuminmoor::io
