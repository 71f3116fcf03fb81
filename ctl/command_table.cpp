/// \file
/// The list of all commands.
#include "command_table.h"

#include <algorithm>
#include <iterator>

namespace cuminmoor::ctl {

std::vector<command_spec> all_commands()
{
    std::vector<command_spec> all;
    for (const auto& group : {service_commands, team_commands, job_commands, preset_commands,
                              domain_commands, view_commands}) {
        auto commands = group();
        std::move(commands.begin(), commands.end(), std::back_inserter(all));
    }
    return all;
}

std::string full_name(const command_spec& command)
{
    return command.verb.empty() ? command.group : command.group + " " + command.verb;
}

} // namespace cuminmoor::ctl
