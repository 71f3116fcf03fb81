/// \file
/// A history in which all runners of a failure domain restart under their ids and are cut off soon
/// after, again and again, while long tasks run and the scheduling VM has troubles of its own.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "expectations.h"

namespace cuminmoor::central::test {

struct recut_options {
    std::uint64_t seed{1};
    bool has_any_runner_clocks{true};
    /// Share of orders that are carried out late.
    double late_orders{0};
    /// See `world_faults::late_orders_outlive_runners`.
    bool late_orders_outlive_runners{false};
};

class recut_play {
public:
    explicit recut_play(const recut_options& options)
        : options_{options}, random_{options.seed}, w_{{.seed = options.seed,
                                                        .vms = vm_count,
                                                        .runners = runner_count,
                                                        .has_any_runner_clocks =
                                                            options.has_any_runner_clocks}}
    {
    }

    /// \return the violations.
    std::vector<std::string> run()
    {
        constexpr int rounds{3};
        constexpr millis rest{30'000};
        w_.crash_breaks_connections = below(2) == 0;
        w_.run_for(warm_up);
        submit_service();
        w_.run_for({1'000 + below(20'000)});
        for (int round{0}; round < rounds; ++round) {
            play_round();
        }
        w_.faults = {};
        w_.run_for(rest);
        std::vector<std::string> seen = w_.violations();
        if (w_.starts() < least_starts) {
            seen.push_back("too few starts to show anything: " + std::to_string(w_.starts()));
        }
        return seen;
    }

private:
    static constexpr std::int64_t vm_count{3};
    static constexpr std::size_t runner_count{12};
    static constexpr std::int64_t dark_ms{600};
    static constexpr std::uint64_t least_starts{100};

    std::int64_t below(std::int64_t bound)
    {
        return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(bound));
    }

    void submit(const graph_job& job) { w_.submit(static_cast<std::size_t>(below(vm_count)), job); }

    void submit_service()
    {
        constexpr std::uint32_t tasks{20};
        graph_job job = central_world::make_job(id_of(jobs_++), 1, tasks, {0});
        job.steps[0].is_service = true;
        submit(job);
    }

    void submit_batch()
    {
        const bool is_long = below(2) == 0;
        const millis work{is_long ? 8'000 + below(12'000) : 50 + below(500)};
        const auto tasks = static_cast<std::uint32_t>(1 + below(12));
        submit(central_world::make_job(id_of(jobs_++), 1, tasks, work));
    }

    /// Lets time pass while jobs are submitted.
    void work(std::int64_t time_ms)
    {
        const instant end = w_.now() + millis{time_ms};
        while (w_.now() < end) {
            if (below(4) == 0) {
                submit_batch();
            }
            w_.run_for({std::min<std::int64_t>(50 + below(250), (end - w_.now()).count)});
        }
    }

    /// Every second runner is of the first failure domain.
    template <typename Action>
    void for_domain(Action act)
    {
        for (std::size_t runner{0}; runner < runner_count; runner += 2) {
            act(runner);
        }
    }

    void cut_off_domain()
    {
        for_domain([this](std::size_t i) { w_.faults.unreachable_runners.insert(i); });
    }

    void restart_domain()
    {
        for_domain([this](std::size_t i) { w_.crash_runner(i); });
        cut_off_domain();
        work(dark_ms);
        w_.faults.unreachable_runners.clear();
    }

    void trouble_holder()
    {
        const auto holder = w_.scheduler();
        if (!holder) {
            return;
        }
        switch (below(6)) {
        case 0:
            w_.kill(*holder);
            down_.push_back(*holder);
            break;
        case 1:
            w_.freeze(*holder, {1'000 + below(8'000)});
            break;
        case 2:
            w_.faults.vms_without_store.insert(*holder);
            break;
        case 3:
            w_.stop_gracefully(*holder);
            down_.push_back(*holder);
            break;
        case 4:
            w_.faults.runner_event_wait = {below(1'500)};
            break;
        default:
            break;
        }
    }

    void end_troubles()
    {
        w_.faults = {};
        for (const std::size_t vm : down_) {
            w_.kill(vm);
            w_.restart(vm);
        }
        down_.clear();
    }

    void play_round()
    {
        w_.faults.late_orders = options_.late_orders;
        w_.faults.late_orders_outlive_runners = options_.late_orders_outlive_runners;
        work(1'000 + below(1'500));
        restart_domain();
        work(below(2'000));
        trouble_holder();
        work(below(1'000));
        cut_off_domain();
        work(below(2'000));
        trouble_holder();
        work(6'000 + below(5'000));
        end_troubles();
        work(1'000 + below(4'000));
    }

    recut_options options_;
    std::mt19937_64 random_;
    central_world w_;
    std::uint64_t jobs_{1};
    std::vector<std::size_t> down_;
};

/// Plays all seeds and fails if one has a violation.
inline void expect_no_recut_violation(recut_options options, std::uint64_t first,
                                      std::uint64_t last)
{
    std::size_t broken{0};
    for (options.seed = first; options.seed <= last; ++options.seed) {
        const std::vector<std::string> violations = recut_play{options}.run();
        broken += violations.empty() ? 0 : 1;
        if (!violations.empty()) {
            cr_log_error("seed %lu: %s", static_cast<unsigned long>(options.seed),
                         violations.front().c_str());
        }
    }
    cr_assert_eq(broken, 0, "%zu seeds", broken);
}

} // namespace cuminmoor::central::test
