/// \file
/// Reading of flags by Boost.Program_options.
#include "arguments.h"

#include <utility>

#include <boost/program_options.hpp>

#include "absl/strings/numbers.h"

namespace cuminmoor::ctl {

namespace {

namespace po = boost::program_options;

po::options_description describe(const std::vector<flag_spec>& flags)
{
    po::options_description described;
    for (const auto& flag : flags) {
        if (flag.value_name[0] == '\0') {
            described.add_options()(flag.name, flag.help);
        }
        else {
            described.add_options()(flag.name, po::value<std::vector<std::string>>(), flag.help);
        }
    }
    return described;
}

po::parsed_options read_words(const std::vector<std::string>& words,
                              const po::options_description& described)
{
    using style = po::command_line_style::style_t;
    return po::command_line_parser(words)
        .options(described)
        .style(style::allow_long | style::long_allow_next | style::long_allow_adjacent)
        .allow_unregistered()
        .run();
}

} // namespace

arguments arguments::parse(const std::vector<std::string>& words,
                           const std::vector<flag_spec>& flags)
{
    arguments read;
    const auto described = describe(flags);
    try {
        for (const auto& option : read_words(words, described).options) {
            if (option.position_key >= 0) {
                read.operands_.insert(read.operands_.end(), option.value.begin(),
                                      option.value.end());
            }
            else if (option.unregistered) {
                read.fault("--" + option.string_key + " is no flag of this command; see --help");
            }
            else {
                auto& values = read.values_[option.string_key];
                values.insert(values.end(), option.value.begin(), option.value.end());
            }
        }
    }
    catch (const po::error& e) {
        read.fault(std::string{e.what()} + "; see --help");
    }
    return read;
}

std::string arguments::text(const std::string& flag, std::string otherwise) const
{
    const auto found = values_.find(flag);
    if (found == values_.end() || found->second.empty()) {
        return otherwise;
    }
    return found->second.back();
}

std::vector<std::string> arguments::texts(const std::string& flag) const
{
    const auto found = values_.find(flag);
    return found == values_.end() ? std::vector<std::string>{} : found->second;
}

std::string arguments::required_text(const std::string& flag, const std::string& fix)
{
    auto value = text(flag);
    if (value.empty()) {
        fault("--" + flag + " is missing; " + fix);
    }
    return value;
}

std::int64_t arguments::number(const std::string& flag, std::int64_t otherwise, std::int64_t least)
{
    if (!has(flag)) {
        return otherwise;
    }
    std::int64_t value{0};
    if (!absl::SimpleAtoi(text(flag), &value) || value < least) {
        fault("--" + flag + ": \"" + text(flag) + "\" must be a whole number, at least " +
              std::to_string(least));
    }
    return value;
}

millis arguments::duration(const std::string& flag, millis otherwise)
{
    return {number(flag, otherwise.count, 0)};
}

resources arguments::size(const resources& otherwise)
{
    return {number("milli-cores", otherwise.milli_cores),
            number("memory-mib", otherwise.memory_mib),
            number("accelerators", otherwise.accelerators)};
}

std::string arguments::operand(const std::string& what)
{
    if (operands_.size() == 1) {
        return operands_.front();
    }
    fault(operands_.empty() ? what + " is missing; give it after the command"
                            : "only one " + what + " can be given");
    return {};
}

void arguments::expect_no_operands()
{
    if (!operands_.empty()) {
        fault("\"" + operands_.front() + "\" is not expected here; see --help");
    }
}

} // namespace cuminmoor::ctl
