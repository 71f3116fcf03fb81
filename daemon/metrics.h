/// \file
/// What /metrics and /readyz show. docs/METRICS.md lists the names.
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

/// State of the core as the control thread last published it.
struct control_snapshot {
    std::map<std::string, std::uint64_t> counters;
    /// True when the VM list and the configuration have been read.
    bool is_ready{false};
    std::size_t queued_events{0};
    std::size_t open_requests{0};
    std::size_t open_commands{0};
    std::uint64_t configuration_version{0};
    std::uint64_t lease_epoch{0};
    bool holds_lease{false};
};

/// Filled by the control thread and the I/O, read by traffic threads.
class metrics {
public:
    void publish(control_snapshot snapshot);
    [[nodiscard]] std::shared_ptr<const control_snapshot> snapshot() const;

    /// Whole time of a caller's request, less the time with backend servers.
    latency_summary request_overhead;
    /// Time of one dispatch with its backend server.
    latency_summary backend;
    /// Time of one step of the reducer, effects included.
    latency_summary control_step;
    /// Requests refused because `max_open_requests` were open.
    std::atomic<std::uint64_t> requests_shed{0};

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const control_snapshot> snapshot_{std::make_shared<control_snapshot>()};
};

/// \return the text of /metrics, one "name value" line each.
std::string format_metrics(metrics& m, const peer_transport_counts& peers, std::size_t open_calls);

} // namespace cuminmoor::io
