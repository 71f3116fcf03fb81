/// \file
/// What a long queue of tasks without room costs the scheduler.
#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::size_t runners{20};
/// Tasks of the size that the virtual world gives them fill a runner.
constexpr std::uint32_t tasks_per_runner{8};

} // namespace

/// Seen on hanseok-cuminmoor-grown, trouble-1: with a few hundred steps waiting, the scheduler's
/// processor went into weighing every runner for each of them, and calls waited until they failed.
Test(central_queue, steps_with_equal_demand_are_scored_once_per_placement)
{
    central_world w{{.vms = 1, .runners = runners}};
    w.run_for(warm_up);
    constexpr std::uint64_t waiting{400};
    for (std::uint64_t n{1}; n <= waiting; ++n) {
        w.submit(0, central_world::make_job(id_of(n), 1, tasks_per_runner, {1'000}));
    }
    w.run_for({500});
    const std::uint64_t scored_before = w.state_of(0).scheduler.runners_scored;
    const std::uint64_t starts = w.starts();
    constexpr millis observed{5'000};
    w.run_for(observed);
    // A start weighs all runners once, and a placement once more for the one size that finds no
    // room.
    const std::uint64_t scoring_passes =
        (w.state_of(0).scheduler.runners_scored - scored_before) / runners;
    const auto placements =
        static_cast<std::uint64_t>(observed.count / config::placement_interval.count);
    cr_log_info("looks at all runners: %lu for %lu starts", scoring_passes, w.starts() - starts);
    cr_assert_leq(scoring_passes, w.starts() - starts + placements);
    cr_assert_geq(w.state_of(0).scheduler.ready.size(), waiting / 2);
    expect_no_violation(w);
}

/// Gangs that wait weigh all runners anew, member by member, in each placement.
Test(central_queue, waiting_gangs_are_not_scored_in_each_placement)
{
    constexpr std::size_t runners{20};
    const auto scoring_passes_per_second = [](std::uint64_t gangs) {
        central_world w{{.vms = 1, .runners = runners}};
        w.run_for(warm_up);
        w.submit(0, central_world::make_job(id_of(1), 1, 100, {30'000}));
        w.submit(0, central_world::make_job(id_of(2), 20, 1, {100}));
        w.run_for({200});
        for (std::uint64_t n{3}; n < 3 + gangs; ++n) {
            graph_job job = central_world::make_job(id_of(n), 1, 80, {500});
            job.steps[0].is_gang = true;
            w.submit(0, job);
        }
        w.run_for({200});
        const std::uint64_t before = w.state_of(0).scheduler.runners_scored;
        w.run_for({1'000});
        return (w.state_of(0).scheduler.runners_scored - before) / runners;
    };
    const auto few = scoring_passes_per_second(2);
    const auto many = scoring_passes_per_second(40);
    cr_log_info("looks at all runners in a second: %lu with 2 gangs waiting, %lu with 40", few,
                many);
    cr_assert_leq(many, 2 * few);
}
