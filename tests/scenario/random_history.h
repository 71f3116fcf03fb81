/// \file
/// One short history with faults drawn from a seed.
#pragma once

#include <cstdint>
#include <string>

#include "scenario/world.h"

namespace cuminmoor::scenario {

struct history_result {
    /// First violation, or what was still open at the end; empty: none.
    std::string violation;
    millis start_after_out;
    millis start_after_leaving;
    /// Counters of all entry VMs together.
    std::map<std::string, std::uint64_t> counters;
};

/// Runs faults for a while, heals everything, and asks that all work ends.
history_result run_random_history(std::uint64_t seed, const protocol_switches& switches);

} // namespace cuminmoor::scenario
