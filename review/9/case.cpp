/// \file
/// A client leaves while the entry VM that it has called is frozen, and cancels its job through
/// another one: does the job run all the same once the frozen VM wakes?
#include <csignal>

#include "world.h"

namespace {

using namespace review;

constexpr std::int64_t start_limit_ms{20'000};
/// The client leaves after this time.
constexpr std::int64_t patience_ms{250};
constexpr std::int64_t freeze_ms{3'500};
/// `cancel_ms` of the small deployments.
constexpr std::int64_t cancel_ms{3'000};
constexpr std::int64_t observed_ms{6'000};
constexpr std::size_t holder{0};
constexpr std::size_t frozen{1};

bool is_start_of(const run_event& e, const std::string& job)
{
    return e.what == run_event::kind::started && e.task.starts_with(job);
}

verdict play(world& w)
{
    for (unsigned i{0}; i < 3; ++i) {
        runner_options options;
        options.id = "i-" + std::to_string(i);
        w.add_runner(options);
    }
    const queue_options queue;
    w.set_queues({queue});
    w.add_vm("edge-1", "accra-east");
    const std::string body = R"({"task_spec":"work 60000","steps":[{"count":2,"cpu":4000,)"
                             R"("mem_mb":1024,"long_running":true}]})";
    if (!w.wait_until_ready(start_limit_ms) || !w.submit(queue, job_id(1), body, 40)) {
        return verdict::not_run;
    }
    w.add_vm("edge-2", "kumasi-mkt");
    if (!w.wait_until_ready(start_limit_ms)) {
        return verdict::not_run;
    }
    sleep_ms(1'000);
    const std::int64_t frozen_at = now_ms();
    if (w.has_trouble()) {
        w.signal_vm(frozen, SIGSTOP);
    }
    w.call(frozen, "POST", queue, job_id(2), body, patience_ms);
    const int acknowledged = w.call(holder, "DELETE", queue, job_id(2)).status;
    const std::int64_t acknowledged_at = now_ms();
    if (w.has_trouble()) {
        sleep_ms(freeze_ms - (now_ms() - frozen_at));
        w.signal_vm(frozen, SIGCONT);
    }
    sleep_ms(observed_ms);
    w.state_of(queue, job_id(2));
    if (acknowledged != 200 && acknowledged != 410) {
        return verdict::not_run;
    }
    bool is_broken{false};
    for (const run_event& e : w.events()) {
        if (is_start_of(e, job_id(2)) && e.at_ms - acknowledged_at > cancel_ms) {
            w.log().add("UNASKED broken: " + e.task + " started " +
                        std::to_string(e.at_ms - acknowledged_at) +
                        " ms after the cancelling of its job was acknowledged with " +
                        std::to_string(acknowledged));
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
