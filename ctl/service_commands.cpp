/// \file
/// Commands on services: create, list, remove, request.
#include "absl/strings/str_cat.h"
#include "report.h"

namespace cuminmoor::ctl {

namespace {

constexpr millis default_deadline{10'000};

nlohmann::json size_to_json(const resources& size)
{
    return {{"milli_cores", size.milli_cores},
            {"memory_mib", size.memory_mib},
            {"accelerators", size.accelerators}};
}

prepared_command prepare_create(arguments& given)
{
    const auto id = given.operand("SERVICE");
    const nlohmann::json service{{"id", id},
                                 {"team", given.text("team")},
                                 {"tasks", given.number("tasks", 0)},
                                 {"task_size", size_to_json(given.size({}))},
                                 {"p99_target_us", given.number("p99-target-us", 0)}};
    const auto call = change_call({{"kind", "put_service"}, {"service", service}}, given);
    return [call, id](const session& s) {
        return report_change(s, call, absl::StrCat("service ", id, " created"));
    };
}

prepared_command prepare_list(arguments& given)
{
    given.expect_no_operands();
    return [](const session& s) {
        return report_table(s, s.entries.call(reading_call("/v1/configuration")), "services",
                            {{"SERVICE", "id"},
                             {"TEAM", "team"},
                             {"TASKS", "tasks"},
                             {"MILLI_CORES", "task_size.milli_cores"},
                             {"MEMORY_MIB", "task_size.memory_mib"},
                             {"P99_TARGET_US", "p99_target_us"}});
    };
}

prepared_command prepare_remove(arguments& given)
{
    const auto id = given.operand("SERVICE");
    const auto call = change_call({{"kind", "remove_service"}, {"service", id}}, given);
    return [call, id](const session& s) {
        return report_change(s, call, absl::StrCat("service ", id, " removed"));
    };
}

/// A request's answer is the runner's own, so it is printed as it came.
exit_code print_answer(const session& s, const entry_result& result)
{
    if (!result.ok()) {
        return report_failure(s, result);
    }
    s.out << result.body << "\n";
    return exit_code::ok;
}

prepared_command prepare_request(arguments& given)
{
    const auto service = given.operand("SERVICE");
    entry_call call;
    call.method = "POST";
    call.target = absl::StrCat("/v1/services/", escape_url(service), "/requests");
    call.repeatable = given.has("idempotent");
    call.body = given.text("body");
    call.headers = {
        {"X-Caller", given.required_text("caller", "name whoever asks")},
        {"X-Request-Id", given.required_text("request-id", "choose one that is new")},
        {"X-Deadline-Ms", std::to_string(given.duration("deadline-ms", default_deadline).count)},
        {"X-Idempotent", call.repeatable ? "1" : "0"}};
    return [call](const session& s) { return print_answer(s, s.entries.call(call)); };
}

} // namespace

std::vector<command_spec> service_commands()
{
    const flag_spec expected{"expected", "VERSION", "change only from this version"};
    return {
        {"service",
         "create",
         "SERVICE",
         "create a service or change it",
         {{"team", "TEAM", "team that it counts for"},
          {"tasks", "N", "latency-critical tasks kept running on workers"},
          {"milli-cores", "N", "processors of each task, thousandths of a core"},
          {"memory-mib", "N", "memory of each task"},
          {"accelerators", "N", "accelerators of each task"},
          {"p99-target-us", "N", "target for its tail latency"},
          expected},
         prepare_create},
        {"service", "list", "", "list the services", {}, prepare_list},
        {"service", "remove", "SERVICE", "remove a service", {expected}, prepare_remove},
        {"service",
         "request",
         "SERVICE",
         "send one request and print the runner's answer",
         {{"caller", "CALLER", "who asks"},
          {"request-id", "ID", "id of the request, new for each"},
          {"body", "TEXT", "body of the request"},
          {"deadline-ms", "N", "how long the answer is of use"},
          {"idempotent", "", "running it twice does no harm"}},
         prepare_request},
    };
}

} // namespace cuminmoor::ctl
