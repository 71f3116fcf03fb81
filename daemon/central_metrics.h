/// \file
/// Counters and latency histograms of the central scheduler's process, for Prometheus.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cuminmoor/central/state.h"
#include "line_log.h"

namespace cuminmoor::io {

class central_metrics {
public:
    central_metrics();
    ~central_metrics();
    central_metrics(const central_metrics&) = delete;
    central_metrics& operator=(const central_metrics&) = delete;
    central_metrics(central_metrics&&) = delete;
    central_metrics& operator=(central_metrics&&) = delete;

    /// Counts an event and starts or ends latency measurements.
    void record(const central::event& e, instant now);
    // One overload per effect: counts it and starts or ends a latency measurement.
    void record(const central::peer_call& e, instant now);
    void record(const central::answer_call& e, instant now);
    void record(const central::rows_commit& e, instant now);
    void record(const central::rows_read& e, instant now);
    void record(const central::watch_registry& e, instant now);
    void record(const central::runner_order& e, instant now);
    void record(const central::runner_hold& e, instant now);

    /// Records that a call was read from its connection and waits for the reducer.
    void record_call_read(central::call_handle handle, instant now);
    /// Records how late the event loop ran a timer.
    void record_lag(millis lag);

    /// \return all metrics in Prometheus's text format.
    [[nodiscard]] std::string render(const central::central_state& s, const line_log& log,
                                     instant now) const;

private:
    struct histograms;

    void increment(const std::string& name) { ++counters_[name]; }
    /// Records that the reducer is given a call.
    void record_call_taken(central::call_handle handle, central::call_kind kind, instant now);
    void record_forward_ended(const central::peer_call_ended& e, instant now);

    std::map<std::string, std::uint64_t> counters_;
    // Start times of the latencies that are being measured.
    std::map<central::call_handle, instant> call_read_at_;
    std::map<central::call_handle, instant> call_arrived_at_;
    std::map<central::call_handle, instant> peer_call_arrived_at_;
    std::map<central::call_handle, instant> forwarded_at_;
    std::map<std::uint64_t, instant> commit_sent_at_;
    std::map<std::pair<central::graph_task_id, central::run_number>, instant> start_sent_at_;
    /// Empty before the first.
    std::optional<instant> last_tick_at_;
    std::unique_ptr<histograms> histograms_;
};

} // namespace cuminmoor::io
