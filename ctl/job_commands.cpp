/// \file
/// Commands on jobs: submit, list, show, cancel.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "report.h"
#include "wait.h"

namespace cuminmoor::ctl {

namespace {

constexpr std::int64_t default_list_limit = 100;
constexpr std::int64_t jobs_per_cancel = 1'000;
constexpr resources default_task_size{1'000, 1'024, 0};

nlohmann::json read_job(arguments& given, const std::string& id)
{
    const auto size = given.size(default_task_size);
    return {{"id", id},
            {"team", given.required_text("team", "name the team that it counts for")},
            {"kind", given.text("kind", "batch")},
            {"tasks", given.number("tasks", 1, 1)},
            {"task_size",
             {{"milli_cores", size.milli_cores},
              {"memory_mib", size.memory_mib},
              {"accelerators", size.accelerators}}},
            {"run_time_ms", given.duration("run-time-ms", {}).count},
            {"deadline_ms", given.duration("deadline-ms", {}).count},
            {"job_class", given.text("class")},
            {"command", given.required_text("command", "say what each task runs")}};
}

prepared_command prepare_submit(arguments& given)
{
    const auto id = given.operand("JOB");
    auto call = posting_call("/v1/jobs", {{"job", read_job(given, id)},
                                          {"failure_domain", given.text("failure-domain")}});
    call.headers["X-Caller"] = given.required_text("caller", "name the job's owner");
    // The job's id tells a repeat from a second job.
    call.repeatable = true;
    const bool wait = given.has("wait");
    return [call, id, wait](const session& s) {
        const auto code = report_done(s, s.entries.call(call), absl::StrCat("job ", id, " taken"));
        return wait && code == exit_code::ok ? wait_for_job(s, id) : code;
    };
}

std::string list_target(const std::string& prefix, const std::string& after, std::int64_t limit)
{
    return absl::StrCat("/v1/jobs?prefix=", escape_url(prefix), "&after=", escape_url(after),
                        "&limit=", limit);
}

prepared_command prepare_list(arguments& given)
{
    given.expect_no_operands();
    const auto target = list_target(given.text("prefix"), given.text("after"),
                                    given.number("limit", default_list_limit, 1));
    return [target](const session& s) {
        return report_table(s, s.entries.call(reading_call(target)), "jobs",
                            {{"JOB", "id"},
                             {"TEAM", "team"},
                             {"PHASE", "phase"},
                             {"TASKS", "tasks"},
                             {"WAITING", "waiting"},
                             {"RUNNING", "running"},
                             {"FINISHED", "finished"},
                             {"FAILED", "failed"},
                             {"CANCELLED", "cancelled"},
                             {"EVICTIONS", "evictions"}});
    };
}

prepared_command prepare_show(arguments& given)
{
    const auto id = given.operand("JOB");
    const bool wait = given.has("wait");
    return [id, wait](const session& s) {
        const auto waited = wait ? wait_for_job(s, id) : exit_code::ok;
        const auto shown =
            report_fields(s, s.entries.call(reading_call("/v1/jobs/" + escape_url(id))));
        return waited == exit_code::ok ? shown : waited;
    };
}

/// Cancels what is named; a repeat does no harm.
entry_result cancel_jobs_of(const session& s, const nlohmann::json& ids)
{
    auto call = posting_call("/v1/jobs/cancel", {{"jobs", ids}});
    call.repeatable = true;
    return s.entries.call(call);
}

/// \return the ids of the jobs in an answer to a listing.
nlohmann::json listed_ids(const nlohmann::json& listing)
{
    auto ids = nlohmann::json::array();
    const auto jobs = listing.is_object() ? listing.value("jobs", nlohmann::json::array())
                                          : nlohmann::json::array();
    for (const auto& job : jobs) {
        ids.push_back(cell_text(job, "id"));
    }
    return ids;
}

exit_code cancel_by_prefix(const session& s, const std::string& prefix)
{
    std::string after;
    std::size_t cancelled = 0;
    while (true) {
        const auto listing =
            s.entries.call(reading_call(list_target(prefix, after, jobs_per_cancel)));
        if (!listing.ok()) {
            return report_failure(s, listing);
        }
        const auto ids = listed_ids(listing.json);
        if (ids.empty()) {
            break;
        }
        const auto result = cancel_jobs_of(s, ids);
        if (!result.ok()) {
            s.err << "cancelled so far: " << cancelled << "; a repeat goes on from there\n";
            return report_failure(s, result);
        }
        cancelled += ids.size();
        after = ids.back().get<std::string>();
    }
    s.out << (s.as_json ? nlohmann::json{{"cancelled", cancelled}}.dump()
                        : absl::StrCat(cancelled, " jobs cancelled"))
          << "\n";
    return exit_code::ok;
}

prepared_command prepare_cancel(arguments& given)
{
    const auto prefix = given.text("prefix");
    const auto& ids = given.operands();
    if (ids.empty() == prefix.empty()) {
        given.fault("name the jobs, or give --prefix; not both");
    }
    if (!prefix.empty()) {
        return [prefix](const session& s) { return cancel_by_prefix(s, prefix); };
    }
    return [ids](const session& s) {
        return report_done(s, cancel_jobs_of(s, ids), absl::StrCat(ids.size(), " jobs cancelled"));
    };
}

std::vector<flag_spec> submit_flags()
{
    return {{"team", "TEAM", "team that it counts for"},
            {"caller", "CALLER", "owner of the job"},
            {"tasks", "N", "number of tasks (1)"},
            {"milli-cores", "N", "processors of each task, thousandths of a core (1000)"},
            {"memory-mib", "N", "memory of each task (1024)"},
            {"accelerators", "N", "accelerators of each task (0)"},
            {"run-time-ms", "N", "declared run time of each task"},
            {"deadline-ms", "N", "time from now to its deadline; 0: none"},
            {"class", "CLASS", "group of like jobs, for learned corrections"},
            {"kind", "KIND", "batch or latency_critical (batch)"},
            {"command", "TEXT", "what each task runs"},
            {"failure-domain", "DOMAIN", "where to run it; absent: one in service"},
            {"wait", "", "wait until every task has ended"}};
}

} // namespace

std::vector<command_spec> job_commands()
{
    return {
        {"job", "submit", "JOB", "submit a job", submit_flags(), prepare_submit},
        {"job",
         "list",
         "",
         "list jobs in the order of their ids",
         {{"prefix", "TEXT", "only ids that begin with it"},
          {"after", "JOB", "only ids after this one"},
          {"limit", "N", "at most so many (100)"}},
         prepare_list},
        {"job",
         "show",
         "JOB",
         "show one job",
         {{"wait", "", "wait until every task has ended"}},
         prepare_show},
        {"job",
         "cancel",
         "JOB...",
         "cancel jobs by id, or all that begin with a prefix",
         {{"prefix", "TEXT", "cancel every job whose id begins with it"}},
         prepare_cancel},
    };
}

} // namespace cuminmoor::ctl
