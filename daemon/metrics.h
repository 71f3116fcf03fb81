/// \file
/// Data behind /metrics and /readyz. docs/METRICS.md documents the metrics.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "latency_summary.h"
#include "peer_transport.h"

namespace cuminmoor::io {

/// State of the core at the last publication by the control thread.
struct control_snapshot {
    std::map<std::string, std::uint64_t> counters;
    /// True once the VM list and the configuration have been read.
    bool is_ready{false};
    std::size_t queued_events{0};
    std::size_t open_requests{0};
    std::size_t open_commands{0};
    std::uint64_t configuration_version{0};
    std::uint64_t lease_epoch{0};
    bool holds_lease{false};
};

/// Metrics of the process. Thread-safe: the control thread and I/O threads write, traffic threads
/// read.
class metrics {
public:
    void publish(control_snapshot snapshot);
    [[nodiscard]] std::shared_ptr<const control_snapshot> snapshot() const;

    /// Time from arrival to answer of a caller's request, less its time at backend servers.
    latency_summary request_overhead;
    /// Duration of one dispatch to a backend server.
    latency_summary backend;
    /// Duration of one step of the reducer, including its effects.
    latency_summary control_step;
    /// Requests refused because `max_open_requests` were open.
    std::atomic<std::uint64_t> requests_shed{0};

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const control_snapshot> snapshot_{std::make_shared<control_snapshot>()};
};

/// \return the body of /metrics in Prometheus's text format.
std::string format_metrics(metrics& m, const peer_transport_counts& peers, std::size_t open_calls);

} // namespace cuminmoor::io
