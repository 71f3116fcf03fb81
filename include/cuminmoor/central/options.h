/// \file
/// Decisions of central scheduling that a deployment switches on by its settings.
#pragma once

namespace cuminmoor::central {

/// All are off unless the settings name them.
struct scheduling_options {
    /// Among tasks of one priority, those of jobs that have begun start first, then those whose job
    /// can still meet its objective.
    bool attainable_first{false};
    /// Run times that owners estimate are corrected by the ends that were seen.
    bool run_time_correction{false};
    /// Room is kept for the first large tasks that wait; small ones that end before it is needed
    /// use it meanwhile (backfilling).
    bool lookahead{false};
    /// All leftover tasks are throttled before the services at their side miss their targets, not
    /// only those that are known to disturb them.
    bool service_headroom{false};
};

} // namespace cuminmoor::central
