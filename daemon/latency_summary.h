/// \file
/// Latency quantiles over a time window.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>

#include "open_calls.h"

namespace cuminmoor::io {

/// Estimated quantiles, in this order: p50, p99, p99.9.
inline constexpr std::array latency_probabilities{0.5, 0.99, 0.999};

struct latency_quantiles {
    /// Number of samples in the window.
    std::uint64_t count{0};
    /// Quantiles in microseconds, in the order of `latency_probabilities`.
    std::array<double, latency_probabilities.size()> us{};
};

/// Estimates quantiles with Boost.Accumulators over consecutive windows. Readers get the last full
/// window, or the current one while there is none. Thread-safe.
class latency_summary {
public:
    latency_summary();
    ~latency_summary();
    latency_summary(const latency_summary&) = delete;
    latency_summary& operator=(const latency_summary&) = delete;
    latency_summary(latency_summary&&) = delete;
    latency_summary& operator=(latency_summary&&) = delete;

    void add(measuring_clock::duration latency);
    [[nodiscard]] latency_quantiles read();

private:
    struct window;

    void rotate_windows(measuring_clock::time_point now);

    std::mutex mutex_;
    std::unique_ptr<window> current_;
    measuring_clock::time_point current_started_at_;
    latency_quantiles last_full_;
    bool has_last_full_{false};
};

} // namespace cuminmoor::io
