/// \file
/// What operators see of refused clients: metrics, and a log line at most once a second.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "connection_budget.h"
#include "cuminmoor/effect.h"

namespace cuminmoor::io {

/// \return the budget's gauges and counters in Prometheus's text format.
std::string render_metrics(const connection_budget& budget);

class refusal_report {
public:
    /// \return the fields of the line to log: refusals by limit since the last line, and what is
    /// held; nothing without refusals, or less than `refusal_report_period` after the last line.
    std::optional<std::vector<log_field>> observe(const connection_budget& budget, instant now);

private:
    std::optional<instant> reported_at_;
    std::array<std::uint64_t, client_limit_count> reported_{};
};

} // namespace cuminmoor::io
