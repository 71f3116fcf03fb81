/// \file
/// Commands on teams: set, list.
#include "absl/strings/str_cat.h"
#include "report.h"

namespace cuminmoor::ctl {

namespace {

prepared_command prepare_set(arguments& given)
{
    const auto id = given.operand("TEAM");
    const auto quota = given.size({});
    const nlohmann::json team{{"id", id},
                              {"weight", given.number("weight", 1, 1)},
                              {"quota",
                               {{"milli_cores", quota.milli_cores},
                                {"memory_mib", quota.memory_mib},
                                {"accelerators", quota.accelerators}}}};
    const auto call = change_call({{"kind", "put_team"}, {"team", team}}, given);
    return [call, id](const session& s) {
        return report_change(s, call, absl::StrCat("team ", id, " set"));
    };
}

prepared_command prepare_list(arguments& given)
{
    given.expect_no_operands();
    return [](const session& s) {
        return report_table(s, s.entries.call(reading_call("/v1/configuration")), "teams",
                            {{"TEAM", "id"},
                             {"WEIGHT", "weight"},
                             {"MILLI_CORES", "quota.milli_cores"},
                             {"MEMORY_MIB", "quota.memory_mib"},
                             {"ACCELERATORS", "quota.accelerators"}});
    };
}

} // namespace

std::vector<command_spec> team_commands()
{
    return {
        {"team",
         "set",
         "TEAM",
         "set a team's weight and quota",
         {{"weight", "N", "share against the other teams, at least 1"},
          {"milli-cores", "N", "most processors at once; 0: no bound"},
          {"memory-mib", "N", "most memory at once; 0: no bound"},
          {"accelerators", "N", "most accelerators at once; 0: no bound"},
          {"expected", "VERSION", "change only from this version"}},
         prepare_set},
        {"team", "list", "", "list the teams that have an entry", {}, prepare_list},
    };
}

} // namespace cuminmoor::ctl
