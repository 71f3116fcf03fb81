/// \file
/// The VM that schedules ends or is cut off without releasing the lease, while runners are lost.
#include <algorithm>
#include <cstdint>
#include <random>

#include <criterion/criterion.h>

#include "central/service_fixture.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

/// Time from the loss of a runner to the end of the VM that schedules: it has noticed the loss.
constexpr millis until_noticed{1'500};
/// Time after the first end at which recovery from it may not have ended yet.
constexpr millis until_next_end{4'500};

enum class abrupt_end : std::uint8_t { killed, frozen, without_store, while_releasing };

/// \param frozen_for only if it freezes.
void end_abruptly(service_fixture& f, std::size_t vm, abrupt_end how, millis frozen_for)
{
    switch (how) {
    case abrupt_end::killed:
        f.w.kill(vm);
        break;
    case abrupt_end::frozen:
        f.w.freeze(vm, frozen_for);
        break;
    case abrupt_end::without_store:
        f.w.faults.vms_without_store.insert(vm);
        break;
    case abrupt_end::while_releasing:
        f.w.stop_gracefully(vm);
        f.w.run_for({3});
        f.w.faults.vms_without_store.insert(vm);
        break;
    }
}

/// Lets only one VM reach a runner.
void cut_off_from_others(service_fixture& f, std::size_t runner, std::size_t vm)
{
    for (std::size_t other{0}; other < service_fixture::vms; ++other) {
        if (other != vm) {
            f.w.faults.unreachable_runner_paths.insert({other, runner});
        }
    }
}

/// Loses a runner, then the VM that schedules `ends` times.
/// \return the time from the loss until all service tasks run.
millis time_until_all_run(abrupt_end how, int ends)
{
    constexpr millis limit{60'000};
    service_fixture f{1};
    cr_assert_gt(f.w.runner(0).running.size(), 0);
    f.lose_runner(0);
    const instant lost_at = f.w.now();
    f.w.run_for(until_noticed);
    for (int i{0}; i < ends; ++i) {
        if (i > 0) {
            f.w.run_for(until_next_end);
        }
        end_abruptly(f, f.newest_scheduler(), how, limit);
    }
    while (f.running_tasks() < f.tasks() && f.w.now() - lost_at < limit) {
        f.w.run_for({100});
    }
    expect_no_violation(f.w);
    return f.w.now() - lost_at;
}

} // namespace

/// Guards against a successor that waits for every runner which does not answer as if anything may
/// run there, when the holder before it was killed, froze or lost the store (seen by users as
/// LOST).
Test(central_abrupt_ends, tasks_of_a_lost_runner_do_not_wait_anew_for_its_leases)
{
    for (const auto how : {abrupt_end::killed, abrupt_end::frozen, abrupt_end::without_store}) {
        cr_expect_leq(time_until_all_run(how, 1).count, missed_after.count, "end %d",
                      static_cast<int>(how));
    }
}

/// The same when the successor is lost too: the next one may take some seconds to claim the lease,
/// but does not wait for the runner any more.
Test(central_abrupt_ends, a_second_end_adds_only_the_takeover)
{
    constexpr millis takeover{4'000};
    const millis bound = until_noticed + until_next_end + takeover;
    for (const auto how : {abrupt_end::killed, abrupt_end::frozen, abrupt_end::without_store}) {
        cr_expect_leq(time_until_all_run(how, 2).count, bound.count, "end %d",
                      static_cast<int>(how));
    }
}

/// Runners that are only cut off work on, so nothing that may run there starts elsewhere before
/// their leases have expired, however often and in whatever way holders of the lease end.
Test(central_abrupt_ends, nothing_runs_twice_while_runners_are_cut_off)
{
    constexpr std::uint64_t seeds{60};
    for (std::uint64_t seed{1}; seed <= seeds; ++seed) {
        service_fixture f{seed};
        std::mt19937_64 random{seed};
        const auto draw = [&random](std::uint64_t below) { return random() % below; };
        const auto draw_time = [&draw](std::uint64_t below) {
            return millis{static_cast<std::int64_t>(draw(below))};
        };
        for (int round{0}; round < 12; ++round) {
            f.w.faults.unreachable_runners.insert(draw(service_fixture::runners));
            f.w.run_for(draw_time(1'500));
            if (draw(2) == 0) {
                f.w.faults.unreachable_runners.clear();
                f.w.run_for(draw_time(800));
            }
            f.w.faults.lost_commits = draw(2) == 0 ? 0 : 0.3;
            f.w.faults.late_commits = draw(4) == 0 ? 0.2 : 0;
            const auto vm = f.w.scheduler();
            if (vm) {
                cut_off_from_others(f, draw(service_fixture::runners), *vm);
                end_abruptly(f, *vm, static_cast<abrupt_end>(draw(4)), draw_time(6'000));
            }
            f.w.run_for(draw_time(12'000));
            if (vm) {
                f.w.restart(*vm);
            }
            f.w.faults.vms_without_store.clear();
            f.w.faults.unreachable_runner_paths.clear();
        }
        f.w.faults = {};
        f.w.run_for({15'000});
        expect_no_violation(f.w);
    }
}
