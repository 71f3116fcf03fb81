/// \file
/// Planned stops of the VM that schedules, in series, while runners leave or are lost.
#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

#include <criterion/criterion.h>

#include "central/service_fixture.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

/// Service tasks, and planned stops of the VM that schedules.
struct fixture : service_fixture {
    using service_fixture::service_fixture;

    /// Stops the VM that schedules, if any does, and starts it again.
    void replace_scheduler(millis until_restart)
    {
        const auto vm = w.scheduler();
        if (vm) {
            w.stop_gracefully(*vm);
        }
        w.run_for(until_restart);
        if (vm) {
            w.restart(*vm);
        }
    }
};

/// Runs until all tasks run, stopping the VM that schedules each 2 s.
/// \return how long that took.
millis time_until_all_run(fixture& f, millis limit)
{
    const instant begin = f.w.now();
    instant next_stop = begin;
    while (f.running_tasks() < f.tasks() && f.w.now() - begin < limit) {
        if (f.w.now() >= next_stop) {
            constexpr millis restart{1'000};
            f.replace_scheduler(restart);
            next_stop = f.w.now() + restart;
        }
        f.w.run_for({100});
    }
    return f.w.now() - begin;
}

} // namespace

/// Guards against recovery that begins anew with each holder of the lease, so that tasks of a lost
/// runner wait for as long as holders are stopped (review/4, seen by users as LOST).
Test(central_handover, tasks_of_a_lost_runner_wait_once_for_its_leases)
{
    fixture f{1};
    const std::size_t lost = f.w.runner(0).running.size();
    cr_assert_gt(lost, 0);
    f.lose_runner(0);
    cr_assert_leq(time_until_all_run(f, {30'000}).count, missed_after.count);
    expect_no_violation(f.w);
}

/// The same for tasks that were evicted from a runner that leaves: they did not run on the lost
/// one.
Test(central_handover, evicted_tasks_do_not_wait_for_leases_of_other_runners)
{
    fixture f{1};
    const std::size_t lost = f.w.runner(0).running.size();
    f.lose_runner(0);
    f.w.run_for({500});
    f.w.drain_runner(1);
    f.w.stop_gracefully(*f.w.scheduler());
    f.w.run_for({2'500});
    cr_assert(f.w.runner(1).running.empty());
    cr_assert_eq(f.running_tasks(), f.tasks() - lost);
    expect_no_violation(f.w);
}

/// Runners that are only cut off work on, so nothing that may run there starts elsewhere before
/// their leases have expired, however often the holder changes.
Test(central_handover, nothing_runs_twice_while_runners_are_cut_off)
{
    constexpr std::uint64_t seeds{60};
    for (std::uint64_t seed{1}; seed <= seeds; ++seed) {
        fixture f{seed};
        std::mt19937_64 random{seed};
        const auto draw = [&random](std::uint64_t below) { return random() % below; };
        for (int round{0}; round < 12; ++round) {
            const std::size_t cut = draw(fixture::runners);
            f.w.faults.unreachable_runners.insert(cut);
            const millis delay{static_cast<std::int64_t>(draw(1'500))};
            f.w.run_for(delay);
            const std::size_t draining = draw(4 * fixture::runners);
            if (draining < fixture::runners) {
                f.w.drain_runner(draining);
            }
            f.w.faults.lost_commits = draw(2) == 0 ? 0 : 0.3;
            f.replace_scheduler({static_cast<std::int64_t>(draw(2'500))});
            if (draw(3) == 0) {
                f.w.faults.unreachable_runners.clear();
            }
        }
        f.w.faults = {};
        f.w.run_for({15'000});
        expect_no_violation(f.w);
    }
}
