/// \file
/// The open channels between the entry VMs and the store and runners go silent, without a reset;
/// new ones work.
#include <algorithm>
#include <map>

#include "../standins/world.h"

namespace {

using namespace review;

constexpr unsigned runner_count{4};
constexpr unsigned lasting_jobs{4};
constexpr unsigned first_lasting{1'000};
constexpr unsigned wide_jobs{12};

/// LOST: a task that lasts is missed from 6 s after its last run, for 3 s.
constexpr std::int64_t missed_after_ms{6'000 + 3'000};
constexpr std::int64_t observed_ms{40'000};

const char* const lasting_job =
    R"({"task_spec":"work 600000","steps":[{"count":6,"cpu":1000,"mem_mb":1000,)"
    R"("estimated_ms":400,"long_running":true,"image":"watch"}]})";
const char* const wide_job =
    R"({"task_spec":"work 600","steps":[{"count":36,"cpu":1000,"mem_mb":1000,"estimated_ms":600}]})";

/// \return the longest time for which each task that lasts had no run, up to now.
std::map<std::string, std::int64_t> longest_gaps(world& w)
{
    std::map<std::string, std::int64_t> ended_at;
    std::map<std::string, std::int64_t> gaps;
    for (const run_event& e : w.events()) {
        if (e.task.empty() || e.task < job_id(first_lasting)) {
            continue;
        }
        if (e.what == run_event::kind::started && ended_at.contains(e.task)) {
            gaps[e.task] = std::max(gaps[e.task], e.at_ms - ended_at[e.task]);
            ended_at.erase(e.task);
        }
        else if (e.what == run_event::kind::ended) {
            ended_at[e.task] = e.at_ms;
        }
    }
    for (const auto& [task, at] : ended_at) {
        gaps[task] = std::max(gaps[task], now_ms() - at);
    }
    return gaps;
}

verdict judge(world& w)
{
    unsigned missed{0};
    for (const auto& [task, gap] : longest_gaps(w)) {
        w.log().add("task " + task + " had no run for " + std::to_string(gap) + " ms");
        missed += gap > missed_after_ms ? 1 : 0;
    }
    w.log().add("LOST: " + std::to_string(missed) + " tasks that last had no run for over " +
                std::to_string(missed_after_ms) + " ms");
    return missed == 0 ? verdict::held : verdict::broken;
}

verdict play(world& w)
{
    const queue_options queue;
    w.set_queues({queue});
    for (unsigned i{0}; i < runner_count; ++i) {
        w.add_runner({.id = "i-000" + std::to_string(i)});
    }
    for (const char* name : {"entry-1", "entry-2", "entry-3"}) {
        w.add_vm(name, "accra-east");
    }
    constexpr std::int64_t start_limit{20'000};
    if (!w.wait_until_ready(start_limit)) {
        return verdict::not_run;
    }
    for (unsigned i{0}; i < lasting_jobs; ++i) {
        w.submit(queue, job_id(first_lasting + i), lasting_job);
    }
    for (unsigned i{0}; i < wide_jobs; ++i) {
        w.submit(queue, job_id(i), wide_job);
    }
    constexpr std::int64_t settle_ms{5'000};
    sleep_ms(settle_ms);
    if (w.has_trouble()) {
        w.on_loop([&] {
            w.platform().silence_open_connections();
            for (unsigned i{0}; i < runner_count; ++i) {
                w.runner_at(i).silence_open_connections();
            }
        });
    }
    sleep_ms(observed_ms);
    return judge(w);
}

} // namespace

int main()
{
    world w{"record.txt"};
    const verdict result = play(w);
    w.log().add("verdict " + std::to_string(static_cast<int>(result)));
    return static_cast<int>(result);
}
