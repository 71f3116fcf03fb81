/// \file
/// A client whose requests are legal in size but made of very many short fields: each step of its
/// jobs names an image of its own.
#include "cases.h"

#include <vector>

namespace review {

namespace {

constexpr std::size_t job_count{24};
constexpr std::size_t steps_per_job{200};
constexpr std::size_t usual_images{14};
constexpr int http_ok{200};

json step_of(std::size_t number, bool trouble)
{
    const std::size_t image = trouble ? number : number % usual_images;
    return {{"count", 1},
            {"cpu", 100},
            {"mem_mb", 64},
            {"estimated_ms", 20'000},
            {"image", "pleat/build-" + std::to_string(image)}};
}

json job_of(std::size_t number, bool trouble)
{
    json steps = json::array();
    for (std::size_t i{0}; i < steps_per_job; ++i) {
        steps.push_back(step_of(number * steps_per_job + i, trouble));
    }
    return {{"task_spec", "ms=20000"}, {"steps", std::move(steps)}};
}

/// Submits one job after the other. \return the ids of those that were accepted.
std::vector<std::string> submit_jobs(deployment& d, bool trouble)
{
    constexpr std::int64_t gap_ms{200};
    std::vector<std::string> accepted;
    for (std::size_t i{0}; i < job_count; ++i) {
        const std::string id = job_id(i + 1);
        if (d.call("POST", quotes, id, job_of(i, trouble).dump()).status == http_ok) {
            accepted.push_back(id);
        }
        pause_ms(gap_ms);
    }
    return accepted;
}

} // namespace

verdict play_many_images(const case_run& run)
{
    std::vector<runner_options> runners;
    for (int i{1}; i <= 4; ++i) {
        runners.push_back({.id = "i-" + std::to_string(i)});
    }
    deployment d{run.record, run.log_folder, runners};
    if (!d.start(3)) {
        return verdict::not_run;
    }
    const std::vector<std::string> accepted = submit_jobs(d, run.trouble);
    // `finish_s` after the end of the traffic.
    constexpr std::int64_t finish_ms{14'000};
    pause_ms(finish_ms);
    constexpr std::int64_t query_gap_ms{100};
    std::size_t unanswered{0};
    std::size_t unfinished{0};
    for (const std::string& id : accepted) {
        pause_ms(query_gap_ms);
        constexpr int attempts{3};
        const http_response answer = d.call("GET", quotes, id, "", attempts);
        unanswered += answer.status != http_ok ? 1 : 0;
        unfinished += answer.body.find("completed") == std::string::npos ? 1 : 0;
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
                   std::to_string(unanswered) + " of those asked for, not completed " +
                   std::to_string(unfinished) + "; processes ended " + std::to_string(ends) +
                   " times");
    if (accepted.empty()) {
        return verdict::not_run;
    }
    return unanswered > 0 ? verdict::broken : verdict::held;
}

} // namespace review
