/// \file
/// What each long operation's progress looks like.
#include "wait.h"

#include <chrono>
#include <thread>

#include "absl/strings/str_cat.h"
#include "report.h"

namespace cuminmoor::ctl {

namespace {

constexpr std::chrono::milliseconds look_period{300};

std::int64_t count_at(const nlohmann::json& object, const char* field)
{
    const auto found = object.is_object() ? object.find(field) : object.end();
    return object.is_object() && found != object.end() && found->is_number_integer()
               ? found->get<std::int64_t>()
               : 0;
}

bool flag_at(const nlohmann::json& object, const char* field)
{
    const auto found = object.is_object() ? object.find(field) : object.end();
    return object.is_object() && found != object.end() && found->is_boolean() && found->get<bool>();
}

/// A failed look ends the wait only when waiting cannot mend it.
wait_step failed_look(const entry_result& result)
{
    wait_step step;
    step.progress = result.message;
    if (result.exit == exit_code::refused && result.result_code < 200) {
        step.ended = result.exit;
    }
    return step;
}

wait_step look_at_job(const session& s, const std::string& job)
{
    const auto result = s.entries.call(reading_call("/v1/jobs/" + escape_url(job)));
    if (!result.ok()) {
        return failed_look(result);
    }
    const auto finished = count_at(result.json, "finished");
    const auto tasks = count_at(result.json, "tasks");
    wait_step step;
    step.progress = absl::StrCat("job ", job, ": ", finished, " of ", tasks, " tasks finished, ",
                                 count_at(result.json, "running"), " running, ",
                                 count_at(result.json, "failed"), " failed");
    if (flag_at(result.json, "done")) {
        step.ended = finished == tasks ? exit_code::ok : exit_code::job_not_finished;
    }
    return step;
}

wait_step look_at_versions(const session& s, std::int64_t version)
{
    std::size_t reached = 0;
    for (const auto& entry : s.entries.entries()) {
        const auto result = s.entries.call_one(entry, reading_call("/v1/status"));
        if (result.ok() && count_at(result.json, "version") >= version) {
            ++reached;
        }
    }
    wait_step step;
    step.progress = absl::StrCat("configuration version ", version, " in force on ", reached,
                                 " of ", s.entries.entries().size(), " entry VMs");
    if (reached == s.entries.entries().size()) {
        step.ended = exit_code::ok;
    }
    return step;
}

/// \return the status line of the failure domain as any entry VM tells it, or null.
nlohmann::json domain_line(const session& s, const std::string& failure_domain)
{
    for (const auto& entry : s.entries.entries()) {
        const auto result = s.entries.call_one(entry, reading_call("/v1/status"));
        if (!result.ok() || !result.json.is_object()) {
            continue;
        }
        const auto domains = result.json.value("domains", nlohmann::json::array());
        for (const auto& line : domains) {
            if (cell_text(line, "failure_domain") == failure_domain && line.contains("running")) {
                return line;
            }
        }
    }
    return nullptr;
}

wait_step look_at_domain(const session& s, const std::string& failure_domain)
{
    const auto line = domain_line(s, failure_domain);
    wait_step step;
    if (line.is_null()) {
        step.progress = absl::StrCat("no entry VM tells what runs in ", failure_domain,
                                     "; name one of that failure domain with --entry");
        return step;
    }
    const auto running = count_at(line, "running");
    step.progress = absl::StrCat(failure_domain, ": ", running, " tasks running");
    if (running == 0) {
        step.ended = exit_code::ok;
    }
    return step;
}

} // namespace

exit_code wait_until_ended(const session& s, const std::function<wait_step()>& look)
{
    using clock = std::chrono::steady_clock;
    const auto limit = clock::now() + std::chrono::milliseconds{s.wait_limit.count};
    std::string shown;
    while (true) {
        const auto step = look();
        if (step.progress != shown) {
            s.err << step.progress << "\n";
            shown = step.progress;
        }
        if (step.ended) {
            return *step.ended;
        }
        if (clock::now() >= limit) {
            s.err << "error: --wait-limit-ms has passed; the operation goes on\n";
            return exit_code::wait_expired;
        }
        std::this_thread::sleep_for(look_period);
    }
}

exit_code wait_for_job(const session& s, const std::string& job)
{
    return wait_until_ended(s, [&] { return look_at_job(s, job); });
}

exit_code wait_for_version(const session& s, std::int64_t version)
{
    return wait_until_ended(s, [&] { return look_at_versions(s, version); });
}

exit_code wait_for_drained_domain(const session& s, const std::string& failure_domain)
{
    return wait_until_ended(s, [&] { return look_at_domain(s, failure_domain); });
}

} // namespace cuminmoor::ctl
