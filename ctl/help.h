/// \file
/// Help texts of cuminmoorctl.
#pragma once

#include <ostream>
#include <vector>

#include "command_table.h"

namespace cuminmoor::ctl {

/// Flags that every command takes.
std::vector<flag_spec> common_flags();

/// Prints the list of commands.
void print_overview(std::ostream& out);

/// Prints the usage and flags of one command.
void print_command_help(std::ostream& out, const command_spec& command);

} // namespace cuminmoor::ctl
