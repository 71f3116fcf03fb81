/// \file
/// Scenario language: one step per line; comments start with '#'. Times are in ms.
///
///     domain a 3 4                          failure domain, entry VMs a1-a3, workers aw1-aw4
///     breaks_without fencing                 the checker must detect that this mechanism is off
///     at 1200 submit j in a tasks 4 run 900 cores 8
///     at 1200 cancel j in a
///     at 1200 kill a1 | stop a1 | start a1   an entry VM; stop is graceful
///     at 1200 freeze aw1 | thaw aw1          any VM; `leader:a` is the current holder of a's
///                                            lease, `old:a` the VM that the last use of
///                                            `leader:a` referred to
///     at 1200 restart aw1 | end aw1 | leave aw1 | break aw1    a worker
///     at 1200 cut a1 store|peers|workers|configuration
///     at 1200 heal
///     at 1200 store none|down|lose_answers|slow 900
///     at 1200 delay_syncs 900
///     at 1200 operator out a | operator in a | operator preset peak
///     at 1200 operator service s 6 8 | operator remove s      6 tasks of 8 cores
///     at 1200 mark                           set the reference point of `no_start`
///     at 1200 expect finished j 4            also failed, cancelled (tasks counted)
///     at 1200 expect leader a | expect no_leader a | expect no_start a | expect idle a
///     at 1200 expect running a 3
///     at 1200 expect counter scheduler.recovered 2       at least
#pragma once

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "scenario/world.h"

namespace cuminmoor::scenario {

struct scenario_step {
    int line{0};
    instant at;
    std::vector<std::string> words;
};

struct scenario_file {
    std::vector<std::vector<std::string>> domains;
    std::vector<std::string> breaks_without;
    std::vector<scenario_step> steps;
};

/// \return the scenario, or an error that names the line.
absl::StatusOr<scenario_file> parse_scenario(const std::string& text);

/// \return switches with one mechanism off, or an error if the mechanism is unknown.
absl::StatusOr<protocol_switches> switches_without(const std::string& mechanism);

/// Result of running a scenario.
struct scenario_result {
    /// First violation of an invariant; empty: none.
    std::string violation;
    /// First failed expectation or invalid step; empty: none.
    std::string failed_expectation;
};

scenario_result run_scenario(const scenario_file& file, const protocol_switches& switches);

} // namespace cuminmoor::scenario
