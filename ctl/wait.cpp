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

std::string text_at(const nlohmann::json& object, const char* field)
{
    const auto found = object.is_object() ? object.find(field) : object.end();
    return object.is_object() && found != object.end() && found->is_string()
               ? found->get<std::string>()
               : std::string{};
}

nlohmann::json part_of(const nlohmann::json& object, const char* field)
{
    return object.is_object() ? object.value(field, nlohmann::json{}) : nlohmann::json{};
}

wait_step look_at_job(const session& s, const std::string& job)
{
    const auto result = s.entries.call(reading_call("/v1/jobs/" + escape_url(job)));
    if (!result.ok()) {
        return failed_look(result);
    }
    const auto& job_view = result.json;
    const auto phase = text_at(job_view, "phase");
    wait_step step;
    step.progress =
        absl::StrCat("job ", job, " ", phase, ": ", count_at(job_view, "finished"), " of ",
                     count_at(job_view, "tasks"), " tasks finished, ",
                     count_at(job_view, "running"), " running, ", count_at(job_view, "failed"),
                     " failed, ", count_at(job_view, "cancelled"), " cancelled");
    if (phase == "finished") {
        step.ended = exit_code::ok;
    }
    if (phase == "failed" || phase == "cancelled") {
        step.ended = exit_code::job_not_finished;
    }
    return step;
}

/// Addresses of the live entry VMs, of one failure domain or of all.
std::vector<std::string> live_entries(const session& s, const std::string& failure_domain)
{
    std::vector<std::string> found;
    const auto result = s.entries.call(reading_call("/v1/vms"));
    for (const auto& vm : part_of(result.json, "vms")) {
        const bool wanted =
            failure_domain.empty() || text_at(vm, "failure_domain") == failure_domain;
        if (wanted && text_at(vm, "role") == "entry" && text_at(vm, "phase") == "live") {
            found.push_back(text_at(vm, "http"));
        }
    }
    return found;
}

wait_step look_at_versions(const session& s, std::int64_t version)
{
    const auto entries = live_entries(s, "");
    std::size_t reached = 0;
    for (const auto& entry : entries) {
        const auto result = s.entries.call_one(entry, reading_call("/v1/status"));
        if (result.ok() && count_at(result.json, "version") >= version) {
            ++reached;
        }
    }
    wait_step step;
    step.progress = absl::StrCat("configuration version ", version, " in force on ", reached,
                                 " of ", entries.size(), " live entry VMs");
    if (!entries.empty() && reached == entries.size()) {
        step.ended = exit_code::ok;
    }
    return step;
}

/// \return the status of the holder of the failure domain's scheduler lease, or null.
nlohmann::json holder_status(const session& s, const std::string& failure_domain)
{
    for (const auto& entry : live_entries(s, failure_domain)) {
        const auto result = s.entries.call_one(entry, reading_call("/v1/status"));
        if (result.ok() && text_at(result.json, "lease_role") == "holder") {
            return result.json;
        }
    }
    return nullptr;
}

wait_step look_at_domain(const session& s, const std::string& failure_domain)
{
    const auto holder = holder_status(s, failure_domain);
    wait_step step;
    if (holder.is_null()) {
        step.progress = absl::StrCat("no reachable entry VM holds the scheduler lease of ",
                                     failure_domain, "; its tasks cannot be counted");
        return step;
    }
    const auto assigned = count_at(holder, "running");
    step.progress = absl::StrCat(failure_domain, ": ", assigned, " tasks assigned to workers");
    if (assigned == 0) {
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
