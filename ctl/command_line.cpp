/// \file
/// Choice of the command, the common flags, and the list of faults.
#include "command_line.h"

#include <algorithm>
#include <optional>

#include "absl/strings/str_split.h"
#include "help.h"

namespace cuminmoor::ctl {

namespace {

constexpr millis default_timeout{10'000};
constexpr millis default_wait_limit{600'000};

/// A command and the words after its name.
struct chosen_command {
    command_spec command;
    std::vector<std::string> rest;
};

std::optional<chosen_command> choose_command(const std::vector<std::string>& words)
{
    for (auto& command : all_commands()) {
        const std::size_t length = command.verb.empty() ? 1 : 2;
        if (words.size() < length || words[0] != command.group ||
            (length == 2 && words[1] != command.verb)) {
            continue;
        }
        return chosen_command{command,
                              {words.begin() + static_cast<std::ptrdiff_t>(length), words.end()}};
    }
    return std::nullopt;
}

bool asks_for_help(const std::vector<std::string>& words)
{
    return words.empty() || words.front() == "help" ||
           std::find(words.begin(), words.end(), "--help") != words.end();
}

/// Entry VMs from --entry, or else from the variable.
std::vector<std::string> read_entries(arguments& given, const std::string& variable)
{
    auto entries = given.texts("entry");
    if (entries.empty()) {
        entries = absl::StrSplit(variable, ',', absl::SkipEmpty());
    }
    if (entries.empty()) {
        given.fault("no entry VM is named; give --entry IP:PORT or set CUMINMOOR_ENTRIES");
    }
    for (const auto& entry : entries) {
        if (entry.find(':') == std::string::npos) {
            given.fault("--entry: \"" + entry + "\" must be IP:PORT");
        }
    }
    return entries;
}

exit_code report_faults(std::ostream& err, const std::vector<std::string>& faults)
{
    for (const auto& fault : faults) {
        err << "error: " << fault << "\n";
    }
    return exit_code::usage;
}

exit_code run_chosen(const chosen_command& chosen, const invocation& started, std::ostream& out,
                     std::ostream& err, const exchange_function& exchange)
{
    auto flags = chosen.command.flags;
    const auto common = common_flags();
    flags.insert(flags.end(), common.begin(), common.end());
    auto given = arguments::parse(chosen.rest, flags);
    const auto entries = read_entries(given, started.entries_variable);
    const auto timeout = given.duration("timeout-ms", default_timeout);
    const auto wait_limit = given.duration("wait-limit-ms", default_wait_limit);
    const auto command = chosen.command.prepare(given);
    if (given.has("expected")) {
        given.number("expected", 0);
    }
    if (!given.faults().empty()) {
        return report_faults(err, given.faults());
    }
    const entry_client client{entries, timeout, exchange};
    return command({client, out, err, given.has("json"), wait_limit});
}

} // namespace

exit_code run_command_line(const invocation& started, std::ostream& out, std::ostream& err,
                           const exchange_function& exchange)
{
    const auto chosen = choose_command(started.words);
    if (asks_for_help(started.words)) {
        if (chosen) {
            print_command_help(out, chosen->command);
        }
        else {
            print_overview(out);
        }
        return started.words.empty() ? exit_code::usage : exit_code::ok;
    }
    if (!chosen) {
        err << "error: \"" << started.words.front() << "\" with these words is no command; see "
            << "cuminmoorctl --help\n";
        return exit_code::usage;
    }
    return run_chosen(*chosen, started, out, err, exchange);
}

} // namespace cuminmoor::ctl
