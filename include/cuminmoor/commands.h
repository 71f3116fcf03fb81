/// \file
/// State of commands that are waiting for the store.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cuminmoor/clock.h"
#include "cuminmoor/command.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/store.h"

namespace cuminmoor {

enum class command_stage : std::uint8_t {
    /// Resumes at `next_try`.
    ready,
    committing,
    /// Reading the rows needed for its answer or write.
    reading,
    /// Reading back after a commit; `list_jobs` uses it for its second read.
    reading_back,
};

/// A command that has not been answered yet.
struct open_command {
    command_arrived arrived;
    instant started_at;
    command_stage stage{command_stage::ready};
    instant next_try;
    /// Number of the store token that the command waits for.
    std::uint64_t token{0};
    /// Nonce stored in the rows that the command writes.
    nonce written_by;
    /// Last transaction sent, kept so that it can be resent unchanged after an unknown outcome.
    std::optional<transaction> sent;
    /// True if a commit of `sent` had an unknown outcome, so that it may have taken effect.
    bool may_have_applied{false};
    /// Version that a configuration change creates.
    config_version target;
    /// Jobs found for the command.
    std::vector<job_id> jobs;
};

struct command_state {
    std::map<traffic_handle, open_command> open;
    /// Waiting command by store token number.
    std::map<std::uint64_t, traffic_handle> waiting;
    std::uint64_t next_token{1};
};

} // namespace cuminmoor
