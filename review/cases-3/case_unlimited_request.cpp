/// \file
/// A job that can never be done: its task asks for as much processor time as a number can say.
#include "cases.h"

#include <map>
#include <vector>

namespace review {

namespace {

constexpr int http_ok{200};
constexpr std::int64_t runner_cpu{64'000};
constexpr std::int64_t task_cpu{30'000};

json job_of(std::int64_t cpu, int count, const std::string& spec)
{
    return {
        {"task_spec", spec},
        {"steps",
         json::array({{{"count", count}, {"cpu", cpu}, {"mem_mb", 64}, {"estimated_ms", 2'000}}})}};
}

/// \return the most processor time that the tasks of ordinary jobs on one runner ask for.
std::int64_t most_on_a_runner(deployment& d)
{
    std::int64_t most{0};
    for (std::size_t i{0}; i < d.runners(); ++i) {
        std::int64_t used{0};
        for (const task_run& each : d.at(i).running()) {
            used += each.spec.find("cpu=30000") != std::string::npos ? task_cpu : 0;
        }
        most = std::max(most, used);
    }
    return most;
}

} // namespace

verdict play_unlimited_request(const case_run& run)
{
    deployment d{run.record,
                 run.log_folder,
                 {{.id = "i-1", .cpu = runner_cpu}, {.id = "i-2", .cpu = runner_cpu}}};
    if (!d.start(3)) {
        return verdict::not_run;
    }
    // One ordinary task on each runner.
    if (d.call("POST", quotes, job_id(1), job_of(task_cpu, 2, "ms=20000 cpu=30000").dump())
            .status != http_ok) {
        return verdict::not_run;
    }
    constexpr std::int64_t start_limit_ms{5'000};
    if (!wait_for(run.record, start_limit_ms, [&] { return d.running().size() == 2; })) {
        return verdict::not_run;
    }
    const std::int64_t asked = run.trouble ? INT64_MAX : std::int64_t{1'000};
    const int status =
        d.call("POST", quotes, job_id(2), job_of(asked, 1, "ms=10000 never").dump()).status;
    pause_ms(1'000);
    // Six more ordinary tasks: two fit now, the others have to wait.
    if (d.call("POST", quotes, job_id(3), job_of(task_cpu, 6, "ms=2000 cpu=30000").dump()).status !=
        http_ok) {
        return verdict::not_run;
    }
    std::int64_t most{0};
    constexpr std::int64_t watch_ms{10'000};
    wait_for(run.record, watch_ms, [&] {
        most = std::max(most, most_on_a_runner(d));
        return most > runner_cpu;
    });
    run.record.add("the job that asks for " + std::to_string(asked) + " was answered " +
                   std::to_string(status) + "; most that ordinary tasks on one runner ask for: " +
                   std::to_string(most) + " of " + std::to_string(runner_cpu));
    return most > runner_cpu ? verdict::broken : verdict::held;
}

} // namespace review
