/// \file
/// What must hold in a soak. All times are of the stand-ins' clock, in ms.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runner.h"

namespace soak {

struct time_span {
    std::int64_t from_ms{0};
    std::int64_t to_ms{0};
};

/// A VM, or each of them, is down or can't rely on the store.
struct vm_trouble {
    time_span when;
    /// Nothing: all VMs.
    std::optional<std::size_t> vm;
};

/// Answer to a client's question for a job's state.
struct state_answer {
    std::string job;
    /// As shown, or "410".
    std::string state;
    std::size_t vm{0};
    std::int64_t asked_ms{0};
};

struct observations {
    std::vector<review::run_event> events;
    /// Spans with unplanned faults.
    std::vector<time_span> faults;
    std::vector<vm_trouble> troubles;
    /// Tasks that must always run, with the time of their job's acceptance.
    std::map<std::string, std::int64_t> lasting_tasks;
    /// Accepted jobs, with the time of the answer.
    std::map<std::string, std::int64_t> accepted;
    /// Jobs that a client has tried to cancel.
    std::set<std::string> cancelled;
    std::vector<state_answer> answers;
    /// Processes that ended by themselves.
    std::vector<std::string> own_ends;
    std::int64_t end_ms{0};
};

struct judgement {
    std::vector<std::string> findings;
    /// Longest time for which a lasting task had no run.
    std::int64_t longest_gap_ms{0};
};

judgement judge(const observations& seen);

} // namespace soak
