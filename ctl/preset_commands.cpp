/// \file
/// Commands on presets: list, show, use.
#include <array>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "cuminmoor/configuration.h"
#include "report.h"
#include "wait.h"

namespace cuminmoor::ctl {

namespace {

constexpr std::array all_presets{preset::ordinary, preset::peak, preset::maintenance};

nlohmann::json preset_rows(const std::string& in_force)
{
    auto rows = nlohmann::json::array();
    for (const auto each : all_presets) {
        const auto name = name_of(each);
        rows.push_back({{"preset", name}, {"in_force", name == in_force}});
    }
    return rows;
}

prepared_command prepare_list(arguments& given)
{
    given.expect_no_operands();
    return [](const session& s) {
        auto result = s.entries.call(reading_call("/v1/configuration"));
        if (!result.ok()) {
            return report_failure(s, result);
        }
        result.json = {{"presets", preset_rows(cell_text(result.json, "preset"))}};
        result.body = result.json.dump();
        return report_table(s, result, "presets", {{"PRESET", "preset"}, {"IN_FORCE", "in_force"}});
    };
}

prepared_command prepare_show(arguments& given)
{
    given.expect_no_operands();
    return [](const session& s) {
        const auto result = s.entries.call(reading_call("/v1/configuration"));
        return report_done(s, result,
                           absl::StrCat("preset ", cell_text(result.json, "preset"),
                                        " is in force since configuration version ",
                                        cell_text(result.json, "version"), " or earlier"));
    };
}

/// Sends the change; with `wait`, until every entry VM has it.
exit_code use(const session& s, const entry_call& call, const std::string& name, bool wait)
{
    const auto result = s.entries.call(call);
    const auto version = cell_text(result.json, "version");
    const auto code = report_done(
        s, result, absl::StrCat("preset ", name, " chosen; configuration version ", version));
    std::int64_t number{0};
    if (!wait || code != exit_code::ok || !absl::SimpleAtoi(version, &number)) {
        return code;
    }
    return wait_for_version(s, number);
}

prepared_command prepare_use(arguments& given)
{
    const auto name = given.operand("PRESET");
    const auto known = parse_preset(name);
    if (!name.empty() && !known.ok()) {
        given.fault(std::string{known.status().message()});
    }
    const auto call = change_call({{"kind", "use_preset"}, {"preset", name}}, given);
    const bool wait = given.has("wait");
    return [call, name, wait](const session& s) { return use(s, call, name, wait); };
}

} // namespace

std::vector<command_spec> preset_commands()
{
    return {
        {"preset", "list", "", "list the presets", {}, prepare_list},
        {"preset", "show", "", "show the preset in force", {}, prepare_show},
        {"preset",
         "use",
         "PRESET",
         "put a preset in force",
         {{"expected", "VERSION", "change only from this version"},
          {"wait", "", "wait until every live entry VM has it"}},
         prepare_use},
    };
}

} // namespace cuminmoor::ctl
