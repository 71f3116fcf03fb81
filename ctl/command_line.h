/// \file
/// From the words of the command line to an exit code.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "entry_client.h"

namespace cuminmoor::ctl {

/// What the process was started with.
struct invocation {
    /// Without the program's name.
    std::vector<std::string> words;
    /// Value of CUMINMOOR_ENTRIES, or empty.
    std::string entries_variable;
};

/// Carries out one command.
/// \param exchange how to reach an entry VM; replaced in tests.
exit_code run_command_line(const invocation& started, std::ostream& out, std::ostream& err,
                           const exchange_function& exchange = exchange_http);

} // namespace cuminmoor::ctl
