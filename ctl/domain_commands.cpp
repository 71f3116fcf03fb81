/// \file
/// Commands on failure domains: out, in, status.
#include "absl/strings/str_cat.h"
#include "report.h"
#include "wait.h"

namespace cuminmoor::ctl {

namespace {

prepared_command prepare_out(arguments& given)
{
    const auto domain = given.operand("DOMAIN");
    const auto call = change_call({{"kind", "take_domain_out"}, {"failure_domain", domain}}, given);
    const bool wait = given.has("wait");
    return [call, domain, wait](const session& s) {
        const auto code = report_change(s, call, absl::StrCat(domain, " taken out of service"));
        return wait && code == exit_code::ok ? wait_for_drained_domain(s, domain) : code;
    };
}

prepared_command prepare_in(arguments& given)
{
    const auto domain = given.operand("DOMAIN");
    const auto call = change_call({{"kind", "bring_domain_in"}, {"failure_domain", domain}}, given);
    return [call, domain](const session& s) {
        return report_change(s, call, absl::StrCat(domain, " brought back into service"));
    };
}

prepared_command prepare_status(arguments& given)
{
    given.expect_no_operands();
    return [](const session& s) {
        return report_table(s, s.entries.call(reading_call("/v1/status")), "domains",
                            {{"DOMAIN", "failure_domain"},
                             {"IN_SERVICE", "in_service"},
                             {"ENTRY_VMS", "entry_vms"},
                             {"WORKERS", "workers"},
                             {"RUNNERS", "runners"},
                             {"SCHEDULER", "holder"},
                             {"RUNNING", "running"},
                             {"WAITING", "waiting"}});
    };
}

} // namespace

std::vector<command_spec> domain_commands()
{
    const flag_spec expected{"expected", "VERSION", "change only from this version"};
    return {
        {"domain",
         "out",
         "DOMAIN",
         "take a failure domain out of service",
         {expected, {"wait", "", "wait until no task is assigned there"}},
         prepare_out},
        {"domain", "in", "DOMAIN", "bring a failure domain back", {expected}, prepare_in},
        {"domain", "status", "", "show the failure domains", {}, prepare_status},
    };
}

} // namespace cuminmoor::ctl
