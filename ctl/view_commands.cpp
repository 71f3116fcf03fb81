/// \file
/// Commands that only look: VMs, status, counters, audit.
#include "absl/strings/str_cat.h"
#include "report.h"

namespace cuminmoor::ctl {

namespace {

prepared_command prepare_vms(arguments& given)
{
    given.expect_no_operands();
    return [](const session& s) {
        return report_table(s, s.entries.call(reading_call("/v1/vms")), "vms",
                            {{"VM", "id"},
                             {"ROLE", "role"},
                             {"PHASE", "phase"},
                             {"DOMAIN", "failure_domain"},
                             {"HTTP", "http"},
                             {"SERVICE", "service"}});
    };
}

prepared_command prepare_status(arguments& given)
{
    given.expect_no_operands();
    return [](const session& s) {
        return report_fields(s, s.entries.call(reading_call("/v1/status")));
    };
}

prepared_command prepare_counters(arguments& given)
{
    given.expect_no_operands();
    return [](const session& s) {
        const auto result = s.entries.call(reading_call("/metrics"));
        return result.ok() ? report_done(s, result, result.body) : report_failure(s, result);
    };
}

exit_code print_audit(const session& s, const entry_result& result)
{
    if (!result.ok() || s.as_json || !result.json.is_object()) {
        return report_done(s, result, result.body);
    }
    print_table(s.out, result.json.value("requests", nlohmann::json::array()),
                {{"REQUEST", "request"},
                 {"SERVICE", "service"},
                 {"STATUS", "status"},
                 {"HTTP_STATUS", "http_status"}});
    print_table(s.out, result.json.value("jobs", nlohmann::json::array()),
                {{"JOB", "job"},
                 {"DOMAIN", "failure_domain"},
                 {"TEAM", "team"},
                 {"OWNER", "owner"},
                 {"FINISHED", "finished"},
                 {"FAILED", "failed"},
                 {"CANCELLED", "cancelled"},
                 {"EVICTIONS", "evictions"}});
    if (!result.json.value("complete", true)) {
        s.err << "warning: the list is not complete; ask for one team or caller at a time\n";
    }
    return exit_code::ok;
}

prepared_command prepare_audit(arguments& given)
{
    given.expect_no_operands();
    const auto caller = given.text("caller");
    const auto team = given.text("team");
    if (caller.empty() && team.empty()) {
        given.fault("give --caller or --team, or both");
    }
    const auto target =
        absl::StrCat("/v1/audit?caller=", escape_url(caller), "&team=", escape_url(team));
    return
        [target](const session& s) { return print_audit(s, s.entries.call(reading_call(target))); };
}

} // namespace

std::vector<command_spec> view_commands()
{
    return {
        {"vm", "list", "", "list the VMs that the entry VM knows", {}, prepare_vms},
        {"status", "", "", "show what an entry VM knows and holds", {}, prepare_status},
        {"counters", "", "", "print an entry VM's counters", {}, prepare_counters},
        {"audit",
         "",
         "",
         "show what the store holds of a caller's requests or a team's jobs",
         {{"caller", "CALLER", "non-idempotent requests of this caller"},
          {"team", "TEAM", "jobs of this team"}},
         prepare_audit},
    };
}

} // namespace cuminmoor::ctl
