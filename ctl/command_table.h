/// \file
/// Commands of cuminmoorctl and what each gets to work with.
#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "arguments.h"
#include "entry_client.h"

namespace cuminmoor::ctl {

/// What a command works with.
struct session {
    const entry_client& entries;
    std::ostream& out;
    std::ostream& err;
    /// Print the answer's JSON in place of a table.
    bool as_json{false};
    /// How long --wait waits.
    millis wait_limit{600'000};
};

/// A command checked its arguments and is ready to be sent.
using prepared_command = std::function<exit_code(const session&)>;

struct command_spec {
    std::string group;
    /// Empty for a command of one word.
    std::string verb;
    /// How help names the operands.
    std::string operands;
    std::string summary;
    std::vector<flag_spec> flags;
    /// Reads and checks all arguments; faults are left in `arguments`. Sends nothing.
    std::function<prepared_command(arguments&)> prepare;
};

std::vector<command_spec> service_commands();
std::vector<command_spec> team_commands();
std::vector<command_spec> job_commands();
std::vector<command_spec> preset_commands();
std::vector<command_spec> domain_commands();
std::vector<command_spec> view_commands();

/// \return every command, in the order of the help text.
std::vector<command_spec> all_commands();

/// \return "group verb".
std::string full_name(const command_spec& command);

} // namespace cuminmoor::ctl
