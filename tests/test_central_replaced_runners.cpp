/// \file
/// The VM that schedules ends without notice, again and again, while runners are replaced and
/// others are lost.
#include <cstdint>
#include <vector>

#include <criterion/criterion.h>

#include "central/service_fixture.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr millis step{100};
constexpr millis time_between_ends{4'000};
constexpr millis until_restart{700};
/// Time from the loss of a runner to the first end of the VM that schedules: it has not noticed.
constexpr millis until_first_end{200};
/// The longest lease of a run, on the slowest clock.
constexpr millis longest_run_lease{6'250};
/// Time within which tasks start after they may.
constexpr millis start_time{1'000};
/// Time within which tasks of a runner that drains are placed elsewhere.
constexpr millis until_restarted{100};

enum class vm_end : std::uint8_t { killed_and_restarted, killed, frozen, without_store };

void end_scheduler(service_fixture& f, vm_end how)
{
    const std::size_t vm = f.newest_scheduler();
    switch (how) {
    case vm_end::killed_and_restarted:
        f.w.kill(vm);
        f.w.run_for(until_restart);
        f.w.restart(vm);
        break;
    case vm_end::killed:
        f.w.kill(vm);
        break;
    case vm_end::frozen:
        f.w.freeze(vm, {60'000});
        break;
    case vm_end::without_store:
        f.w.faults.vms_without_store.insert(vm);
        break;
    }
}

/// A runner drains, and leaves once it is empty.
void replace_runner(service_fixture& f, std::size_t i)
{
    constexpr millis limit{1'500};
    f.w.drain_runner(i);
    const instant begin = f.w.now();
    while (!f.w.runner(i).running.empty() && f.w.now() - begin < limit) {
        f.w.run_for({20});
    }
    cr_assert(f.w.runner(i).running.empty());
    f.w.run_for(until_restarted);
    f.w.runner(i).is_up = false;
    f.w.faults.unreachable_runners.insert(i);
    f.w.set_listed(i, false);
}

/// Runs until there is a scheduler.
void wait_for_scheduler(service_fixture& f)
{
    const instant begin = f.w.now();
    while (!f.w.scheduler() && f.w.now() - begin < millis{6'000}) {
        f.w.run_for({20});
    }
}

/// Loses a runner, and then ends the VM that schedules each 4 s; a runner leaves just before each
/// further end.
/// \param is_noticed whether the VM that schedules notices the loss before it ends.
/// \return the time from the loss until all tasks run.
millis time_until_all_run(vm_end how, std::size_t ends, bool is_noticed)
{
    constexpr millis limit{60'000};
    service_fixture f{1};
    f.w.crash_breaks_connections = is_noticed;
    cr_assert_gt(f.w.runner(0).running.size(), 0);
    f.lose_runner(0);
    const instant lost_at = f.w.now();
    instant end_at = lost_at + until_first_end;
    for (std::size_t i{0}; i < ends; ++i) {
        f.w.run_until(end_at);
        wait_for_scheduler(f);
        if (i > 0) {
            replace_runner(f, i);
        }
        end_scheduler(f, how);
        end_at = end_at + time_between_ends;
    }
    while (f.running_tasks() < f.tasks() && f.w.now() - lost_at < limit) {
        f.w.run_for(step);
    }
    expect_no_violation(f.w);
    return f.w.now() - lost_at;
}

} // namespace

/// Guards against services that wait anew, under each successor of a holder that ended without
/// notice, because runners have left of which its row did not tell (issue 46, seen by users as
/// LOST).
Test(central_replaced_runners, services_wait_once_for_leases_however_many_holders_restart)
{
    const millis until_known = until_first_end + until_restart + step * 2;
    const millis bound = until_known + longest_run_lease + start_time;
    // The third end comes within the start time.
    const millis third = until_restart + start_time;
    for (const bool is_noticed : {true, false}) {
        const auto how = vm_end::killed_and_restarted;
        cr_expect_leq(time_until_all_run(how, 2, is_noticed).count, bound.count);
        cr_expect_leq(time_until_all_run(how, 3, is_noticed).count, (bound + third).count);
    }
}

/// The same if it is not known that a holder has ended: it may have granted leases for
/// `max_time_without_renewal`.
Test(central_replaced_runners, services_wait_once_for_leases_however_many_holders_are_lost)
{
    const millis bound =
        until_first_end + config::max_time_without_renewal + longest_run_lease + start_time;
    for (const auto how : {vm_end::killed, vm_end::frozen, vm_end::without_store}) {
        for (const bool is_noticed : {true, false}) {
            cr_expect_leq(time_until_all_run(how, 3, is_noticed).count, bound.count,
                          "end %d, noticed %d", static_cast<int>(how),
                          static_cast<int>(is_noticed));
        }
    }
}
