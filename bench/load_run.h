/// \file
/// One step of a load test: calls at a fixed rate, latency counted from when each was due.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "http_client.h"

namespace bench {

/// What is called, in turn.
struct load_target {
    /// "a.b.c.d:port".
    std::vector<std::string> addresses;
    /// Path of the call.
    std::string path;
};

struct load_step {
    /// Calls a second.
    double rate{100};
    cuminmoor::millis length{3'000};
    /// Time that a call may take.
    cuminmoor::millis deadline{2'000};
    bool idempotent{true};
};

struct load_result {
    std::uint64_t sent{0};
    /// With status 200.
    std::uint64_t answered{0};
    /// Said to be not run.
    std::uint64_t refused{0};
    std::uint64_t failed{0};
    /// Answers a second.
    double throughput{0};
    /// Of the answered, in microseconds.
    double p50_us{0};
    double p99_us{0};
    double p999_us{0};
};

/// Calls that are late are sent at once, and their waiting counts as latency, so that a slow target
/// cannot hide behind a slow sender.
/// \param clients share the calls; each is one thread.
load_result run_load(const load_target& target, const load_step& step,
                     const std::vector<std::unique_ptr<cuminmoor::io::http_client>>& clients,
                     cuminmoor::clock_source& clock);

} // namespace bench
