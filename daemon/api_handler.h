/// \file
/// Handler of the HTTP API: callers' requests, operators' commands and probes.
#pragma once

#include <atomic>
#include <functional>
#include <string>

#include "cuminmoor/clock.h"
#include "event_sink.h"
#include "http_server.h"
#include "metrics.h"
#include "open_calls.h"

namespace cuminmoor::io {

/// Runs on the traffic threads. Parses and validates requests and posts them to the control thread.
class api_handler final : public http_handler {
public:
    /// All references must outlive the handler.
    /// \param metrics_text returns the body of /metrics.
    api_handler(open_calls& calls, event_sink& sink, clock_source& clock, metrics& process_metrics,
                std::function<std::string()> metrics_text);

    void on_request(http_request request, http_responder respond) override;
    void on_connection_closed(connection_number connection) override;

    /// Makes /readyz fail, so that the load balancer sends no more requests.
    void begin_stopping() { stopping_ = true; }
    /// Called when the core has stopped: rejects all open and later calls as shutting_down (not
    /// run).
    void close();

private:
    void on_probe(const http_request& request, const http_responder& respond);
    void on_caller_request(const http_request& request, const std::string& service,
                           http_responder respond);
    void on_command(const http_request& request, http_responder respond);
    void forward(open_call call, const std::function<event(traffic_handle)>& make_event);
    void reject_after_close(traffic_handle handle);

    open_calls& calls_;
    event_sink& sink_;
    clock_source& clock_;
    metrics& metrics_;
    std::function<std::string()> metrics_text_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> closed_{false};
};

} // namespace cuminmoor::io
