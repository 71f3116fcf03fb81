/// \file
/// Tests that failed stop orders are retried and that other runs are not checked for it.
#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr millis long_run{60'000};

} // namespace

/// On a deployment of 490 runners, each wake-up of the reducer looked up the tasks of all runs.
Test(central_stops, runs_without_failed_stop_are_not_checked)
{
    constexpr std::size_t runners{20};
    /// Fills a runner, given the task size of `central_world::make_job`.
    constexpr std::uint32_t tasks_of_runner{8};
    central_world w{{.vms = 1, .runners = runners}};
    w.run_for(warm_up);
    for (std::uint64_t n{1}; n <= runners; ++n) {
        w.submit(0, central_world::make_job(id_of(n), 1, tasks_of_runner, long_run));
    }
    w.run_for({2'000});
    cr_assert_geq(w.starts(), runners * tasks_of_runner / 2);
    w.cancel(0, id_of(1));
    w.run_for({1'000});
    cr_expect_eq(w.state_of(0).scheduler.stop_retry_checks, 0, "%lu runs were looked at",
                 w.state_of(0).scheduler.stop_retry_checks);
    expect_no_violation(w);
}

Test(central_stops, failed_stop_is_retried)
{
    central_world w{{.vms = 1, .runners = 1}};
    w.run_for(warm_up);
    constexpr std::uint32_t tasks{3};
    constexpr std::uint64_t most_looks{2 * std::uint64_t{tasks}};
    w.submit(0, central_world::make_job(id_of(1), 1, tasks, long_run));
    w.run_for({1'000});
    cr_assert_eq(w.runner(0).running.size(), tasks);
    // The stop orders are delayed by at least 2 s.
    w.faults.late_orders = 1;
    w.cancel(0, id_of(1));
    w.run_for({500});
    w.faults.late_orders = 0;
    cr_assert_eq(w.runner(0).running.size(), tasks);
    w.run_for({1'300});
    cr_assert_eq(w.runner(0).running.size(), 0);
    // Only runs with a failed stop were checked, when their retries were due.
    cr_assert_leq(w.state_of(0).scheduler.stop_retry_checks, most_looks);
    // The delayed orders arrive and have no effect.
    w.run_for({12'000});
    cr_assert_eq(w.runner(0).running.size(), 0);
    cr_assert_leq(w.state_of(0).scheduler.stop_retry_checks, most_looks);
    expect_no_violation(w);
}
