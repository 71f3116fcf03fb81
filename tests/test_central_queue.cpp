/// \file
/// Placement cost while many tasks wait for capacity.
#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::size_t runners{20};
/// Number of tasks of the virtual world's default size that fill a runner.
constexpr std::uint32_t tasks_per_runner{8};

} // namespace

/// Guards against a scheduler that is overloaded by placement, so that calls time out (seen on
/// hanseok-cuminmoor-grown, trouble-1). With a few hundred waiting steps, it scored every runner
/// for each of them.
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
    // Each start scores all runners once; each placement scores them once more for the only task
    // size that does not fit.
    const std::uint64_t scoring_passes =
        (w.state_of(0).scheduler.runners_scored - scored_before) / runners;
    const auto placements =
        static_cast<std::uint64_t>(observed.count / config::placement_interval.count);
    cr_log_info("scoring passes over all runners: %lu for %lu starts", scoring_passes,
                w.starts() - starts);
    cr_assert_leq(scoring_passes, w.starts() - starts + placements);
    cr_assert_geq(w.state_of(0).scheduler.ready.size(), waiting / 2);
    expect_no_violation(w);
}

/// Guards against placement cost that grows with the number of waiting gangs: each gang scored all
/// runners again for each member, in every placement.
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
    cr_log_info("scoring passes over all runners per second: %lu with 2 gangs waiting, %lu with 40",
                few, many);
    cr_assert_leq(many, 2 * few);
}

/// Each refused start caused a placement round of its own. With a long queue the rounds took all of
/// the scheduler's time, so that more orders could not be sent.
Test(central_queue, refused_starts_share_placement_rounds)
{
    constexpr std::uint32_t tasks{60};
    constexpr millis observed{1'000};
    central_world w{{.vms = 1, .runners = 20}};
    w.run_for(warm_up);
    w.faults.unsent_orders = 1;
    for (std::uint64_t n{1}; n <= 10; ++n) {
        w.submit(0, central_world::make_job(id_of(n), 1, tasks, {1'000}));
        w.run_for({3});
    }
    w.run_for({300});
    const std::uint64_t before = w.state_of(0).scheduler.placement_rounds;
    w.run_for(observed);
    const std::uint64_t rounds = w.state_of(0).scheduler.placement_rounds - before;
    const auto most_rounds =
        static_cast<std::uint64_t>(observed.count / config::placement_interval.count + 1);
    cr_expect_leq(rounds, most_rounds, "%lu rounds", static_cast<unsigned long>(rounds));
    w.faults.unsent_orders = 0;
    w.run_for({20'000});
    for (std::uint64_t n{1}; n <= 10; ++n) {
        w.query(0, id_of(n));
    }
    w.run_for({200});
    cr_expect(w.all_done(job_state::completed));
    expect_no_violation(w);
}
