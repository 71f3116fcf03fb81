/// \file
/// State of the commands that wait for the store.
#pragma once

#include <cstdint>
#include <map>

#include "cuminmoor/clock.h"
#include "cuminmoor/command.h"
#include "cuminmoor/ids.h"

namespace cuminmoor {

/// A command between its arrival and its answer.
struct open_command {
    command_arrived arrived;
    instant started_at;
    std::uint32_t tries{0};
    /// Nonce in the rows that this command writes.
    nonce written_by;
    /// Version that a configuration change is to lead to.
    config_version target;
};

struct command_state {
    /// By number of the store token that the command waits for.
    std::map<std::uint64_t, open_command> waiting;
    std::uint64_t next_token{1};
};

} // namespace cuminmoor
