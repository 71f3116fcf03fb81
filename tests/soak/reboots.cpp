/// \file
/// central_reboots [recut] SEED...: plays real entry VMs, batch tasks and services. Prints what
/// must not happen, such as a task that runs twice. Environment as for `central_soak`. Without
/// `recut`, the scheduling VM is paused, so that reports wait unread, while runners crash and boot
/// at once under their ids; some of them are cut off soon after. With `recut`, all runners of a
/// failure domain crash and boot under their ids, get long tasks and are cut off, three times; with
/// odd seeds the scheduling VM ends in between. A round in which they get no long task before the
/// cut is a finding, too. How long leases last after a cut shows a lease on a former life's clock,
/// also when no run is repeated.
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
#include <set>
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
constexpr std::array domain_names{"accra-east", "accra-west"};
constexpr unsigned round_count{3};
/// After the last cut: long enough to show services that are lost.
constexpr std::int64_t rest_after_cuts_ms{10'000};

enum class play_kind : std::uint8_t { paused, recut };

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

/// What a batch client submits: one job in `long_one_in` is of long tasks.
struct batch_load {
    std::int64_t long_one_in{6};
    std::int64_t long_least_ms{8'000};
    std::int64_t long_span_ms{4'000};
};

/// Submits jobs of short tasks, and some of long ones, until it is stopped.
class batch_client {
public:
    batch_client(review::world& w, const review::queue_options& queue, std::uint64_t seed,
                 const batch_load& load)
        : world_{w}, queue_{queue}, load_{load}, thread_{[this, seed] { run(seed); }}
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
    /// Only after `stop`. \return the jobs of long tasks, accepted or not.
    [[nodiscard]] const std::set<std::string>& long_jobs() const { return long_jobs_; }

private:
    void run(std::uint64_t seed)
    {
        constexpr std::int64_t answer_limit_ms{300};
        drawer draw{seed + 1};
        for (unsigned sent{0}; !is_over_; ++sent) {
            const std::string job = review::job_id(first_batch + sent);
            const bool is_long = draw.one_in(load_.long_one_in);
            const std::int64_t work_ms =
                is_long ? draw.from(load_.long_least_ms, load_.long_span_ms) : draw.from(50, 251);
            const std::string text = job_text(draw.from(2, is_long ? 4 : 8), work_ms, false);
            const std::size_t vm = sent % vm_names.size();
            if (is_long) {
                long_jobs_.insert(job);
            }
            if (world_.call(vm, "POST", queue_, job, text, answer_limit_ms).status == http_ok) {
                accepted_[job] = review::now_ms();
            }
            review::sleep_ms(draw.from(20, 80));
        }
    }

    review::world& world_;
    review::queue_options queue_;
    batch_load load_;
    std::atomic<bool> is_over_{false};
    std::map<std::string, std::int64_t> accepted_;
    std::set<std::string> long_jobs_;
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

/// How the scheduling VM ends between the restart and the cut.
enum class vm_end : std::uint8_t { none, killed, stopped };

/// What happens to the runners of one failure domain. Times are since the round's begin.
struct round_plan {
    /// From the crash to the boot; 0: at once.
    std::int64_t dark_ms{0};
    std::vector<std::int64_t> first_heartbeats_ms;
    vm_end end{vm_end::none};
    std::int64_t end_at_ms{0};
    std::int64_t vm_down_ms{0};
    std::int64_t cut_ms{0};
    std::int64_t back_ms{0};
    std::int64_t length_ms{0};
};

round_plan draw_round(drawer& draw, bool ends_vm)
{
    round_plan plan;
    plan.dark_ms = draw.one_in(2) ? 0 : 600;
    const bool is_heard_late = draw.one_in(2);
    for (std::size_t i{0}; i < runner_count; ++i) {
        plan.first_heartbeats_ms.push_back(is_heard_late ? draw.from(0, 1'500) : 0);
    }
    plan.cut_ms = plan.dark_ms + draw.from(1'500, 1'500);
    plan.back_ms = plan.cut_ms + draw.from(7'000, 3'000);
    plan.length_ms = plan.back_ms + draw.from(1'500, 2'500);
    if (ends_vm) {
        plan.end = draw.one_in(2) ? vm_end::killed : vm_end::stopped;
        plan.end_at_ms = plan.cut_ms - draw.from(100, 1'200);
        plan.vm_down_ms = draw.from(300, 2'500);
    }
    return plan;
}

/// When the runners of a domain were new and within reach, and when they were cut off.
struct cut_round {
    std::string domain;
    soak::time_span reachable;
    soak::time_span cut;
};

struct round_figures {
    /// Runs of long tasks that began on the runners between their restart and their cut.
    std::size_t long_starts{0};
    /// From the cut to the end of the last lease that ran out in it.
    std::int64_t lease_ms{0};
};

class reboot_play {
public:
    reboot_play(std::uint64_t seed, play_kind kind, const std::string& folder)
        : seed_{seed}, kind_{kind}, draw_{seed}, folder_{folder}, world_{folder + "/record.txt"}
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
        const bool is_recut = kind_ == play_kind::recut;
        batch_client client{world_, queue_, seed_,
                            is_recut ? batch_load{5, 8'000, 12'000} : batch_load{}};
        pass(first_work_ms);
        if (is_recut) {
            play_rounds();
        }
        else {
            disturb(draw_plan(draw_));
        }
        pass(is_recut ? rest_after_cuts_ms : rest_ms);
        client.stop();
        long_jobs_ = client.long_jobs();
        seen_.accepted.insert(client.accepted().begin(), client.accepted().end());
        seen_.end_ms = review::now_ms();
        seen_.events = world_.events();
        seen_.troubles = supervisor_->troubles();
        seen_.own_ends = supervisor_->own_ends();
        return seen_;
    }

    /// Only after `run`.
    [[nodiscard]] std::vector<round_figures> rounds() const
    {
        std::vector<round_figures> all;
        for (const cut_round& each : rounds_) {
            all.push_back(figures_of(each));
        }
        return all;
    }

private:
    [[nodiscard]] round_figures figures_of(const cut_round& round) const
    {
        using review::run_event;
        const auto is_in = [](const run_event& e, const soak::time_span& span) {
            return e.at_ms >= span.from_ms && e.at_ms <= span.to_ms;
        };
        round_figures figures;
        for (const run_event& e : seen_.events) {
            if (domains_.at(e.runner) != round.domain) {
                continue;
            }
            if (e.what == run_event::kind::started && is_in(e, round.reachable) &&
                long_jobs_.contains(e.task.substr(0, e.task.find('.')))) {
                ++figures.long_starts;
            }
            if (e.what == run_event::kind::lapsed && is_in(e, round.cut)) {
                figures.lease_ms = std::max(figures.lease_ms, e.at_ms - round.cut.from_ms);
            }
        }
        return figures;
    }

    void start_cluster()
    {
        world_.set_queues({queue_});
        for (unsigned i{0}; i < runner_count; ++i) {
            review::runner_options options;
            options.id = "i-00" + std::to_string(i);
            options.labels = {"a", "rack-" + std::to_string(i)};
            options.milli_cores = 16'000;
            if (kind_ == play_kind::recut) {
                options.failure_domain = domain_names.at(i % domain_names.size());
                options.milli_cores = 32'000;
            }
            domains_[options.id] = options.failure_domain;
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

    void play_rounds()
    {
        const std::string domain = domain_names.at(static_cast<std::size_t>(draw_.from(0, 2)));
        for (unsigned i{0}; i < round_count; ++i) {
            play_round(domain, draw_round(draw_, seed_ % 2 == 1));
        }
    }

    void play_round(const std::string& domain, const round_plan& plan)
    {
        const std::int64_t began = review::now_ms();
        const auto pass_until = [&](std::int64_t at_ms) { pass(began + at_ms - review::now_ms()); };
        seen_.faults.push_back({began, began + plan.back_ms});
        restart_domain(domain, plan);
        const std::int64_t restarted = review::now_ms();
        if (plan.end != vm_end::none) {
            pass_until(plan.end_at_ms);
            end_scheduling_vm(plan);
        }
        pass_until(plan.cut_ms);
        on_domain(domain, [](std::size_t, review::runner& r) { r.set_cut_off(true); });
        const std::int64_t cut = review::now_ms();
        pass_until(plan.back_ms);
        rounds_.push_back({domain, {restarted, cut}, {cut, review::now_ms()}});
        on_domain(domain, [](std::size_t, review::runner& r) { r.set_cut_off(false); });
        pass_until(plan.length_ms);
    }

    void restart_domain(const std::string& domain, const round_plan& plan)
    {
        if (plan.dark_ms > 0) {
            on_domain(domain, [](std::size_t, review::runner& r) { r.crash(); });
            pass(plan.dark_ms);
        }
        on_domain(domain, [&](std::size_t i, review::runner& r) {
            soak::restart_runner(r, plan.first_heartbeats_ms.at(i));
        });
    }

    void on_domain(const std::string& domain,
                   const std::function<void(std::size_t, review::runner&)>& action)
    {
        world_.on_loop([&] {
            for (std::size_t i{0}; i < world_.runner_count(); ++i) {
                if (world_.runner_at(i).options().failure_domain == domain) {
                    action(i, world_.runner_at(i));
                }
            }
        });
    }

    void end_scheduling_vm(const round_plan& plan)
    {
        const auto vm = supervisor_->scheduling_vm();
        if (vm && plan.end == vm_end::killed) {
            supervisor_->kill_now(*vm, plan.vm_down_ms);
        }
        else if (vm) {
            supervisor_->stop(*vm);
        }
    }

    std::uint64_t seed_;
    play_kind kind_;
    drawer draw_;
    std::string folder_;
    review::queue_options queue_;
    review::world world_;
    std::optional<soak::supervisor> supervisor_;
    soak::observations seen_;
    /// Of each runner.
    std::map<std::string, std::string> domains_;
    std::set<std::string> long_jobs_;
    std::vector<cut_round> rounds_;
};

/// \return whether each round has put long runs on its runners.
bool print_rounds(const std::string& seed, const std::vector<round_figures>& rounds)
{
    bool is_reached{true};
    for (const round_figures& each : rounds) {
        is_reached = is_reached && each.long_starts > 0;
        std::printf("seed %s: %s%zu long runs began between restart and cut, last lease ended %lld "
                    "ms after the cut\n",
                    seed.c_str(), each.long_starts == 0 ? "NOT REACHED: " : "", each.long_starts,
                    static_cast<long long>(each.lease_ms));
    }
    return is_reached;
}

/// \return whether the seed had no finding.
bool play_one(const std::string& seed, play_kind kind)
{
    const std::string folder =
        soak::make_log_folder((kind == play_kind::recut ? "recut-" : "reboots-") + seed);
    reboot_play play{std::stoull(seed), kind, folder};
    const auto seen = play.run();
    if (!seen) {
        std::printf("seed %s: NOT RUN: no VM is ready; logs in %s\n", seed.c_str(), folder.c_str());
        return false;
    }
    const bool is_reached = print_rounds(seed, play.rounds());
    const soak::judgement result = soak::judge(*seen);
    for (const std::string& each : result.findings) {
        std::printf("seed %s: %s\n", seed.c_str(), each.c_str());
    }
    std::printf("seed %s: %zu findings, longest gap %lld ms, %zu accepted jobs, %zu events; "
                "logs in %s\n",
                seed.c_str(), result.findings.size(), static_cast<long long>(result.longest_gap_ms),
                seen->accepted.size(), seen->events.size(), folder.c_str());
    std::fflush(stdout);
    return result.findings.empty() && is_reached;
}

} // namespace

int main(int argc, char** argv)
{
    setenv("DAEMON", CUMINMOORD_PROGRAM, 0);
    const bool is_recut = argc > 1 && std::string{argv[1]} == "recut";
    const int first_seed{is_recut ? 2 : 1};
    bool is_clean{argc > first_seed};
    try {
        for (int i{first_seed}; i < argc; ++i) {
            is_clean =
                play_one(argv[i], is_recut ? play_kind::recut : play_kind::paused) && is_clean;
        }
    }
    catch (const std::exception& error) {
        std::fprintf(stderr, "central_reboots: %s\n", error.what());
        return 1;
    }
    return is_clean ? 0 : 1;
}
