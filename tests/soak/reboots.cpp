/// \file
/// central_reboots SEED...: plays real entry VMs, short tasks and services. The scheduling VM is
/// paused, so that reports wait unread, while runners crash and boot at once under their ids; some
/// of them are cut off soon after. Prints what must not happen, such as a task that runs twice.
/// Environment as for `central_soak`.
#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "judge.h"
#include "log_folder.h"
#include "restart_runner.h"
#include "supervisor.h"
#include "world.h"

namespace {

constexpr unsigned runner_count{10};
constexpr std::array vm_names{"entry-1", "entry-2", "entry-3"};
constexpr std::int64_t ready_limit_ms{20'000};
constexpr std::int64_t tick_ms{5};
/// From the end of a process to its next start.
constexpr std::int64_t restart_after_ms{300};
/// Before the first disturbance.
constexpr std::int64_t first_work_ms{2'000};
/// A start that is carried out late must have shown by then.
constexpr std::int64_t rest_ms{2'000};
constexpr unsigned service_count{2};
constexpr unsigned tasks_per_service{6};
constexpr unsigned first_service{1'000};
constexpr unsigned first_batch{10'000};
constexpr int http_ok{200};

/// Figures are the same for the same seed.
class drawer {
public:
    explicit drawer(std::uint64_t seed) : random_{seed} {}

    /// \return a figure from `least` to below `least + span`.
    std::int64_t from(std::int64_t least, std::int64_t span)
    {
        return least + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(span));
    }
    bool one_in(std::int64_t count) { return from(0, count) == 0; }

private:
    std::mt19937_64 random_;
};

std::string job_text(std::int64_t tasks, std::int64_t work_ms, bool is_service)
{
    const std::string kind = is_service ? R"("long_running":true,)" : "";
    return R"({"task_spec":"work )" + std::to_string(work_ms) + R"(","steps":[{"count":)" +
           std::to_string(tasks) + R"(,"cpu":1000,"mem_mb":1024,)" + kind +
           R"("estimated_ms":100}]})";
}

/// Submits jobs of short tasks, and some of long ones, until it is stopped.
class batch_client {
public:
    batch_client(review::world& w, const review::queue_options& queue, std::uint64_t seed)
        : world_{w}, queue_{queue}, thread_{[this, seed] { run(seed); }}
    {
    }
    ~batch_client() { stop(); }
    batch_client(const batch_client&) = delete;
    batch_client& operator=(const batch_client&) = delete;
    batch_client(batch_client&&) = delete;
    batch_client& operator=(batch_client&&) = delete;

    void stop()
    {
        is_over_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
    }
    /// Only after `stop`.
    [[nodiscard]] const std::map<std::string, std::int64_t>& accepted() const { return accepted_; }

private:
    void run(std::uint64_t seed)
    {
        constexpr std::int64_t answer_limit_ms{300};
        drawer draw{seed + 1};
        for (unsigned sent{0}; !is_over_; ++sent) {
            const std::string job = review::job_id(first_batch + sent);
            const bool is_long = draw.one_in(6);
            const std::int64_t work_ms = is_long ? draw.from(8'000, 4'000) : draw.from(50, 251);
            const std::string text = job_text(draw.from(2, is_long ? 4 : 8), work_ms, false);
            const std::size_t vm = sent % vm_names.size();
            if (world_.call(vm, "POST", queue_, job, text, answer_limit_ms).status == http_ok) {
                accepted_[job] = review::now_ms();
            }
            review::sleep_ms(draw.from(20, 80));
        }
    }

    review::world& world_;
    review::queue_options queue_;
    std::atomic<bool> is_over_{false};
    std::map<std::string, std::int64_t> accepted_;
    std::thread thread_;
};

/// What happens to one runner. Times are since the pause of the scheduling VM.
struct runner_plan {
    std::size_t runner{0};
    std::int64_t reboot_ms{0};
    std::int64_t first_heartbeat_ms{0};
    std::int64_t cut_ms{0};
    std::int64_t back_ms{0};
};

struct play_plan {
    std::int64_t pause_ms{0};
    std::vector<runner_plan> runners;
    std::int64_t length_ms{0};
};

play_plan draw_plan(drawer& draw)
{
    play_plan plan;
    plan.pause_ms = draw.from(1'000, 2'500);
    for (std::size_t i{0}; i < runner_count; ++i) {
        if (draw.one_in(4)) {
            continue;
        }
        runner_plan each;
        each.runner = i;
        each.reboot_ms = draw.from(100, plan.pause_ms - 100);
        each.first_heartbeat_ms = draw.from(0, 3'000);
        each.cut_ms = plan.pause_ms + draw.from(0, 800);
        each.back_ms =
            each.cut_ms + (draw.one_in(3) ? draw.from(300, 1'500) : draw.from(7'500, 2'500));
        plan.length_ms = std::max(plan.length_ms, each.back_ms);
        plan.runners.push_back(each);
    }
    return plan;
}

class reboot_play {
public:
    reboot_play(std::uint64_t seed, const std::string& folder)
        : seed_{seed}, draw_{seed}, folder_{folder}, world_{folder + "/record.txt"}
    {
    }

    /// \return what was seen, or an empty optional when the VMs did not become ready.
    std::optional<soak::observations> run()
    {
        start_cluster();
        if (!world_.wait_until_ready(ready_limit_ms) || !submit_services()) {
            return std::nullopt;
        }
        supervisor_.emplace(world_, vm_names.size(), folder_, restart_after_ms);
        batch_client client{world_, queue_, seed_};
        pass(first_work_ms);
        disturb(draw_plan(draw_));
        pass(rest_ms);
        client.stop();
        seen_.accepted.insert(client.accepted().begin(), client.accepted().end());
        seen_.end_ms = review::now_ms();
        seen_.events = world_.events();
        seen_.troubles = supervisor_->troubles();
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
            options.labels = {"a", "rack-" + std::to_string(i)};
            options.milli_cores = 16'000;
            world_.add_runner(options);
        }
        for (const char* const name : vm_names) {
            world_.add_vm(name, "accra-east");
        }
    }

    bool submit_services()
    {
        constexpr std::int64_t endless_ms{600'000};
        for (unsigned i{0}; i < service_count; ++i) {
            const std::string job = review::job_id(first_service + i);
            if (!world_.submit(queue_, job, job_text(tasks_per_service, endless_ms, true))) {
                return false;
            }
            for (unsigned task{0}; task < tasks_per_service; ++task) {
                seen_.lasting_tasks[job + ".0.0." + std::to_string(task)] = review::now_ms();
            }
        }
        return true;
    }

    void pass(std::int64_t time_ms)
    {
        const std::int64_t end = review::now_ms() + time_ms;
        while (review::now_ms() < end) {
            supervisor_->tick();
            review::sleep_ms(tick_ms);
        }
    }

    void disturb(const play_plan& plan)
    {
        const std::int64_t began = review::now_ms();
        seen_.faults.push_back({began, began + plan.length_ms});
        if (const auto vm = supervisor_->scheduling_vm()) {
            world_.log().add("pause of " + world_.vm_at(*vm).name + " for " +
                             std::to_string(plan.pause_ms) + " ms");
            supervisor_->pause(*vm, plan.pause_ms);
        }
        std::multimap<std::int64_t, std::function<void()>> steps;
        for (const runner_plan& each : plan.runners) {
            review::runner& r = world_.runner_at(each.runner);
            steps.emplace(each.reboot_ms,
                          [&r, &each] { soak::restart_runner(r, each.first_heartbeat_ms); });
            steps.emplace(each.cut_ms, [&r] { r.set_cut_off(true); });
            steps.emplace(each.back_ms, [&r] { r.set_cut_off(false); });
        }
        for (const auto& [at_ms, step] : steps) {
            pass(began + at_ms - review::now_ms());
            world_.on_loop(step);
        }
    }

    std::uint64_t seed_;
    drawer draw_;
    std::string folder_;
    review::queue_options queue_;
    review::world world_;
    std::optional<soak::supervisor> supervisor_;
    soak::observations seen_;
};

/// \return whether the seed had no finding.
bool play_one(const std::string& seed)
{
    const std::string folder = soak::make_log_folder("reboots-" + seed);
    const auto seen = reboot_play{std::stoull(seed), folder}.run();
    if (!seen) {
        std::printf("seed %s: NOT RUN: no VM is ready; logs in %s\n", seed.c_str(), folder.c_str());
        return false;
    }
    const soak::judgement result = soak::judge(*seen);
    for (const std::string& each : result.findings) {
        std::printf("seed %s: %s\n", seed.c_str(), each.c_str());
    }
    std::printf("seed %s: %zu findings, longest gap %lld ms, %zu accepted jobs, %zu events; "
                "logs in %s\n",
                seed.c_str(), result.findings.size(), static_cast<long long>(result.longest_gap_ms),
                seen->accepted.size(), seen->events.size(), folder.c_str());
    std::fflush(stdout);
    return result.findings.empty();
}

} // namespace

int main(int argc, char** argv)
{
    setenv("DAEMON", CUMINMOORD_PROGRAM, 0);
    bool is_clean{argc > 1};
    try {
        for (int i{1}; i < argc; ++i) {
            is_clean = play_one(argv[i]) && is_clean;
        }
    }
    catch (const std::exception& error) {
        std::fprintf(stderr, "central_reboots: %s\n", error.what());
        return 1;
    }
    return is_clean ? 0 : 1;
}
