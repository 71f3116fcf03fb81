/// \file
/// Tasks that last end `done`, as their process exits by itself: are they started again?
#include <map>

#include "world.h"

namespace {

using namespace review;

constexpr std::int64_t start_limit_ms{20'000};
constexpr const char* job_body = R"("steps":[{"count":3,"cpu":4000,"mem_mb":1024,)"
                                 R"("long_running":true}]})";
/// The tasks exit by themselves after this time.
constexpr std::int64_t short_work_ms{4'000};
constexpr std::int64_t long_work_ms{90'000};
/// A task that lasts is missed from 6 s after its last run, for 3 s.
constexpr std::int64_t missed_ms{9'000};
constexpr std::int64_t observed_ms{25'000};

struct task_history {
    std::int64_t last_end_ms{0};
    std::string how;
    std::size_t starts{0};
    bool runs{false};
};

std::map<std::string, task_history> histories(world& w)
{
    std::map<std::string, task_history> tasks;
    for (const run_event& e : w.events()) {
        if (e.what == run_event::kind::started) {
            ++tasks[e.task].starts;
            tasks[e.task].runs = true;
        }
        else if (e.what == run_event::kind::ended) {
            tasks[e.task].runs = false;
            tasks[e.task].last_end_ms = e.at_ms;
            tasks[e.task].how = e.how;
        }
    }
    return tasks;
}

bool prepare(world& w, const queue_options& queue)
{
    for (unsigned i{0}; i < 6; ++i) {
        runner_options options;
        options.id = "i-" + std::to_string(i);
        w.add_runner(options);
    }
    w.set_queues({queue});
    w.add_vm("edge-1", "accra-east");
    w.add_vm("edge-2", "kumasi-mkt");
    return w.wait_until_ready(start_limit_ms);
}

verdict play(world& w)
{
    const queue_options queue;
    const std::int64_t work_ms = w.has_trouble() ? short_work_ms : long_work_ms;
    const std::string body =
        R"({"task_spec":"work )" + std::to_string(work_ms) + R"(",)" + job_body;
    if (!prepare(w, queue) || !w.submit(queue, job_id(1), body, 40)) {
        return verdict::not_run;
    }
    if (w.wait_for_state(queue, job_id(1), {"running"}, start_limit_ms) != "running") {
        return verdict::not_run;
    }
    sleep_ms(observed_ms);
    w.state_of(queue, job_id(1));
    w.state_of(queue, job_id(1));
    const std::int64_t now = now_ms();
    bool is_broken{false};
    for (const auto& [task, each] : histories(w)) {
        if (!each.runs && now - each.last_end_ms > missed_ms) {
            w.log().add("LOST broken: " + task + " is to last, ended " + each.how + " " +
                        std::to_string(now - each.last_end_ms) + " ms ago and was started " +
                        std::to_string(each.starts) + " times; six runners are empty");
            is_broken = true;
        }
    }
    return is_broken ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    world w{argc > 1 ? argv[1] : "record.txt"};
    const verdict v = play(w);
    w.log().add("verdict " + std::to_string(static_cast<int>(v)));
    return static_cast<int>(v);
}
