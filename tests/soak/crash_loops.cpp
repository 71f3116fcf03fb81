/// \file
/// central_crash_loops CASE...: plays real entry VMs and one service that only one runner may take.
/// That runner crashes or is cut off several times, and the scheduling VM is stopped once in
/// between. Prints what must not happen. Environment as for `central_soak`.
#include <array>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <optional>
#include <string>
#include <string_view>

#include "judge.h"
#include "log_folder.h"
#include "supervisor.h"
#include "world.h"

namespace {

constexpr unsigned runner_count{10};
constexpr std::array vm_names{"entry-1", "entry-2", "entry-3", "entry-4"};
constexpr std::int64_t ready_limit_ms{20'000};
constexpr std::int64_t tick_ms{10};
/// From the end of the stopped process to its next start.
constexpr std::int64_t restart_after_ms{300};
/// From the first start of the service to the first loss of its runner.
constexpr std::int64_t first_work_ms{1'500};
constexpr std::int64_t crash_length_ms{1'400};
/// Long enough for the leases of what runs there to end.
constexpr std::int64_t cut_length_ms{6'500};
/// No case waits longer for the service. Users miss it earlier.
constexpr std::int64_t start_limit_ms{20'000};

/// \return the text of a job with one task that only the first runner may take.
std::string job_text(bool is_service)
{
    const std::string kind = is_service ? R"("long_running":true,)" : "";
    return R"({"task_spec":"work 600000","steps":[{"count":1,"cpu":4000,"mem_mb":1024,)" + kind +
           R"("estimated_ms":4000,"required_label":"b"}]})";
}

struct loop_case {
    std::string_view name;
    /// How often the runner is lost.
    int losses{0};
    /// The scheduling VM is stopped with this one of them; 0: never.
    int stop_with{0};
    /// It is cut off in place of a crash.
    bool is_cut{false};
    /// From the start of a run to the next loss.
    std::int64_t work_ms{150};
    /// It loses a service; otherwise a batch task, to which the same bound applies.
    bool is_service{true};
};

constexpr std::array<loop_case, 8> cases{{
    {"crashes", 3, 0, false},
    {"crashes_stop_1", 3, 1, false},
    {"crashes_stop_2", 4, 2, false},
    {"late_crashes_stop_2", 3, 2, false, 700},
    {"crashes_stop_last", 4, 4, false},
    {"cuts_stop_1", 4, 1, true},
    {"batch_stop_1", 3, 1, false, 150, false},
    {"batch_stop_2", 3, 2, false, 150, false},
}};

class loop_play {
public:
    loop_play(const loop_case& played, const std::string& folder)
        : case_{played}, world_{folder + "/record.txt"}, folder_{folder}
    {
    }

    /// \return what was seen, or an empty optional when the service did not start.
    std::optional<soak::observations> run()
    {
        start_cluster();
        const std::string job = review::job_id(1);
        if (!world_.wait_until_ready(ready_limit_ms) ||
            !world_.submit(queue_, job, job_text(case_.is_service))) {
            return std::nullopt;
        }
        seen_.lasting_tasks[job + ".0.0.0"] = review::now_ms();
        supervisor_.emplace(world_, vm_names.size(), folder_, restart_after_ms);
        if (!wait_for_run()) {
            return std::nullopt;
        }
        pass(first_work_ms);
        for (int i{1}; i <= case_.losses; ++i) {
            lose_runner(i == case_.stop_with);
            if (wait_for_run()) {
                pass(case_.work_ms);
            }
        }
        seen_.end_ms = review::now_ms();
        seen_.events = world_.events();
        seen_.own_ends = supervisor_->own_ends();
        return seen_;
    }

private:
    void start_cluster()
    {
        world_.set_queues({queue_});
        for (unsigned i{0}; i < runner_count; ++i) {
            review::runner_options options;
            options.id = "i-00" + std::to_string(i);
            options.labels = {i == 0 ? "b" : "a", "rack-" + std::to_string(i)};
            world_.add_runner(options);
        }
        for (const char* const name : vm_names) {
            world_.add_vm(name, "accra-east");
        }
    }

    void pass(std::int64_t time_ms)
    {
        const std::int64_t end = review::now_ms() + time_ms;
        while (review::now_ms() < end) {
            supervisor_->tick();
            review::sleep_ms(tick_ms);
        }
    }

    bool wait_for_run()
    {
        const std::int64_t end = review::now_ms() + start_limit_ms;
        bool runs{false};
        while (!runs && review::now_ms() < end) {
            pass(tick_ms);
            world_.on_loop([&] { runs = world_.runner_at(0).running() > 0; });
        }
        return runs;
    }

    void lose_runner(bool stops_scheduler)
    {
        review::runner& lost = world_.runner_at(0);
        const std::int64_t length = case_.is_cut ? cut_length_ms : crash_length_ms;
        seen_.faults.push_back({review::now_ms(), review::now_ms() + length});
        world_.on_loop([&] { case_.is_cut ? lost.set_cut_off(true) : lost.crash(); });
        if (const auto vm = supervisor_->scheduling_vm(); vm && stops_scheduler) {
            supervisor_->stop(*vm);
        }
        pass(length);
        world_.on_loop([&] { case_.is_cut ? lost.set_cut_off(false) : lost.boot(lost.options()); });
    }

    loop_case case_;
    review::queue_options queue_;
    review::world world_;
    std::string folder_;
    std::optional<soak::supervisor> supervisor_;
    soak::observations seen_;
};

/// \return whether the case had no finding.
bool play_one(const loop_case& played)
{
    const std::string name{played.name};
    const std::string folder = soak::make_log_folder(name);
    const auto seen = loop_play{played, folder}.run();
    if (!seen) {
        std::printf("%s: NOT RUN: no VM is ready, or the service did not start; logs in %s\n",
                    name.c_str(), folder.c_str());
        return false;
    }
    const soak::judgement result = soak::judge(*seen);
    for (const std::string& each : result.findings) {
        std::printf("%s: %s\n", name.c_str(), each.c_str());
    }
    std::printf("%s: %zu findings, longest gap %lld ms; logs in %s\n", name.c_str(),
                result.findings.size(), static_cast<long long>(result.longest_gap_ms),
                folder.c_str());
    std::fflush(stdout);
    return result.findings.empty();
}

} // namespace

int main(int argc, char** argv)
{
    setenv("DAEMON", CUMINMOORD_PROGRAM, 0);
    int played{0};
    bool is_clean{true};
    try {
        for (const loop_case& each : cases) {
            for (int i{1}; i < argc; ++i) {
                if (each.name == argv[i]) {
                    ++played;
                    is_clean = play_one(each) && is_clean;
                }
            }
        }
    }
    catch (const std::exception& error) {
        std::fprintf(stderr, "central_crash_loops: %s\n", error.what());
        return 1;
    }
    const bool are_all_known = argc > 1 && played == argc - 1;
    return is_clean && are_all_known ? 0 : 1;
}
