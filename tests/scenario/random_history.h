/// \file
/// Randomized fault injection: one short history of faults generated from a seed.
#pragma once

#include <cstdint>
#include <string>

#include "scenario/world.h"

namespace cuminmoor::scenario {

struct history_result {
    /// First violation, or that work was unfinished at the end; empty: none.
    std::string violation;
    millis start_after_out;
    millis start_after_leaving;
    /// Sum of the counters of all entry VMs.
    std::map<std::string, std::uint64_t> counters;
};

/// Injects faults, then removes all faults and requires that all work ends.
history_result run_random_history(std::uint64_t seed, const protocol_switches& switches);

} // namespace cuminmoor::scenario
