/// \file
/// Reports of an overloaded event loop.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cuminmoor/central/state.h"
#include "cuminmoor/effect.h"

namespace cuminmoor::io {

/// Decides when late timers are worth a log line, and collects what the scheduler did since the
/// last one.
class lag_report {
public:
    /// Records how late a timer was.
    /// \return the fields of the line to log, or nothing if the timer was not late by more than
    /// `min_reported_lag` or the last line is less than `lag_report_period` ago.
    std::optional<std::vector<log_field>> observe(millis lag, instant now,
                                                  const central::central_state& s);

private:
    /// When the last line was logged; empty before the first.
    std::optional<instant> reported_at_;
    /// The scheduler's counters in the last line. They start again when the lease is won.
    std::uint64_t placement_rounds_{0};
    std::uint64_t runners_scored_{0};
};

} // namespace cuminmoor::io
