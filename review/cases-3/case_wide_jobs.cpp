/// \file
/// Large jobs come at once: each request is short, and asks for many tasks.
#include "cases.h"

#include <vector>

namespace review {

namespace {

constexpr int http_ok{200};
constexpr std::size_t job_count{60};
constexpr int wide{10'000};
constexpr int narrow{32};

json job_of(int count)
{
    return {{"task_spec", "ms=2000"},
            {"steps",
             json::array(
                 {{{"count", count}, {"cpu", 4'000}, {"mem_mb", 64}, {"estimated_ms", 2'000}}})}};
}

} // namespace

verdict play_wide_jobs(const case_run& run)
{
    std::vector<runner_options> runners;
    for (int i{1}; i <= 4; ++i) {
        runners.push_back({.id = "i-" + std::to_string(i)});
    }
    deployment d{run.record, run.log_folder, runners};
    if (!d.start(3)) {
        return verdict::not_run;
    }
    std::vector<std::string> accepted;
    for (std::size_t i{1}; i <= job_count; ++i) {
        const std::string id = job_id(i);
        if (d.call("POST", quotes, id, job_of(run.trouble ? wide : narrow).dump(), 2).status ==
            http_ok) {
            accepted.push_back(id);
        }
        pause_ms(100);
    }
    constexpr std::int64_t finish_ms{14'000};
    pause_ms(finish_ms);
    constexpr std::int64_t query_gap_ms{100};
    std::size_t unanswered{0};
    for (const std::string& id : accepted) {
        pause_ms(query_gap_ms);
        unanswered += d.call("GET", quotes, id, "", 3).status != http_ok ? 1 : 0;
        constexpr std::size_t enough{5};
        if (unanswered == enough) {
            break;
        }
    }
    int ends{0};
    for (const auto& each : d.vms()) {
        ends += each->own_ends();
    }
    run.record.add("accepted " + std::to_string(accepted.size()) + ", without an answer " +
                   std::to_string(unanswered) + "; processes ended " + std::to_string(ends) +
                   " times");
    return unanswered > 0 ? verdict::broken : verdict::held;
}

} // namespace review
