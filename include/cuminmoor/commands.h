/// \file
/// State of the commands that wait for the store.
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
    /// Goes on at `next_try`.
    ready,
    committing,
    /// Reads what it needs for its answer or its write.
    reading,
    /// Reads whether its own write took effect.
    reading_back,
};

/// A command between its arrival and its answer.
struct open_command {
    command_arrived arrived;
    instant started_at;
    command_stage stage{command_stage::ready};
    instant next_try;
    /// Number of the store token that it waits for.
    std::uint64_t token{0};
    /// Stands in the rows that it writes.
    nonce written_by;
    /// Kept whole, so that after an unknown outcome exactly the same can be sent again.
    std::optional<transaction> sent;
    /// An outcome of `sent` was unknown: it may have taken effect.
    bool may_have_applied{false};
    /// Version that a configuration change leads to.
    config_version target;
    /// Jobs that the command is about, once they are known.
    std::vector<job_id> jobs;
};

struct command_state {
    std::map<traffic_handle, open_command> open;
    /// Who waits for which store token.
    std::map<std::uint64_t, traffic_handle> waiting;
    std::uint64_t next_token{1};
};

} // namespace cuminmoor
