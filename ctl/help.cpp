/// \file
/// Layout of the help texts.
#include "help.h"

#include <algorithm>

namespace cuminmoor::ctl {

namespace {

constexpr std::size_t name_width = 26;

std::string padded(std::string text)
{
    text.resize(std::max(name_width, text.size() + 1), ' ');
    return text;
}

void print_flags(std::ostream& out, const std::vector<flag_spec>& flags)
{
    for (const auto& flag : flags) {
        const std::string value = flag.value_name;
        const auto name = std::string{"--"} + flag.name + (value.empty() ? "" : " " + value);
        out << "  " << padded(name) << flag.help << "\n";
    }
}

} // namespace

std::vector<flag_spec> common_flags()
{
    return {{"entry", "IP:PORT", "entry VM; may be repeated [CUMINMOOR_ENTRIES, by commas]"},
            {"timeout-ms", "N", "longest wait for one answer (10000)"},
            {"wait-limit-ms", "N", "longest wait of --wait (600000)"},
            {"json", "", "print the answer's JSON"},
            {"help", "", "print this text"}};
}

void print_overview(std::ostream& out)
{
    out << "usage: cuminmoorctl COMMAND [OPERANDS] [FLAGS]\n\ncommands:\n";
    for (const auto& command : all_commands()) {
        const auto operands = command.operands.empty() ? "" : " " + command.operands;
        out << "  " << padded(full_name(command) + operands) << command.summary << "\n";
    }
    out << "\nflags of every command:\n";
    print_flags(out, common_flags());
    out << "\nexit codes: 0 ok, 1 refused and not run, 2 usage, 3 conflict, 4 outcome unknown,\n"
           "5 no entry VM reachable, 6 --wait expired, 7 job ended unfinished, 8 internal\n";
}

void print_command_help(std::ostream& out, const command_spec& command)
{
    const auto operands = command.operands.empty() ? "" : " " + command.operands;
    out << "usage: cuminmoorctl " << full_name(command) << operands << " [FLAGS]\n"
        << command.summary << "\n\nflags:\n";
    print_flags(out, command.flags);
    out << "\nflags of every command:\n";
    print_flags(out, common_flags());
}

} // namespace cuminmoor::ctl
