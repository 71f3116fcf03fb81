/// \file
/// The store answers 503 for some seconds while two runners end many tasks.
#include <cstdio>
#include <thread>

#include "../standins/world.h"

namespace {

using namespace review;

constexpr unsigned job_count{80};
constexpr std::int64_t outage_ms{5'500};

const char* const job_text =
    R"({"task_spec":"work 900","steps":[{"count":36,"cpu":500,"mem_mb":256,"estimated_ms":900}]})";

void submit_all(world& w, const queue_options& queue)
{
    constexpr unsigned clients{8};
    std::vector<std::thread> threads;
    for (unsigned first{0}; first < clients; ++first) {
        threads.emplace_back([&w, &queue, first] {
            for (unsigned i{first}; i < job_count; i += clients) {
                w.submit(queue, job_id(i), job_text);
            }
        });
    }
    for (std::thread& each : threads) {
        each.join();
    }
}

verdict judge(world& w)
{
    const std::vector<std::string> faults = repeated_runs(w.events());
    for (const std::string& each : faults) {
        w.log().add("TWICE: " + each);
    }
    w.log().add("starts against TWICE: " + std::to_string(faults.size()));
    return faults.empty() ? verdict::held : verdict::broken;
}

verdict play(world& w)
{
    const queue_options queue;
    w.set_queues({queue});
    w.add_runner({.id = "i-0001"});
    w.add_runner({.id = "i-0002"});
    for (const char* name : {"entry-1", "entry-2", "entry-3"}) {
        w.add_vm(name, "accra-east");
    }
    constexpr std::int64_t start_limit{20'000};
    if (!w.wait_until_ready(start_limit)) {
        return verdict::not_run;
    }
    submit_all(w, queue);
    if (w.has_trouble()) {
        w.on_loop([&] { w.platform().set_down(true); });
        sleep_ms(outage_ms);
        w.on_loop([&] { w.platform().set_down(false); });
    }
    constexpr std::int64_t job_limit{40'000};
    const std::int64_t deadline = now_ms() + job_limit;
    for (unsigned i{0}; i < job_count; ++i) {
        const std::string state = w.wait_for_state(queue, job_id(i), {"completed"},
                                                   std::max<std::int64_t>(1, deadline - now_ms()));
        if (state != "completed") {
            w.log().add("job " + job_id(i) + " is shown as \"" + state + "\" at the end");
        }
    }
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
