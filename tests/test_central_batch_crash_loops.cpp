/// \file
/// Batch tasks that crash their runners while holders of the lease are lost or others crash, too.
#include "central/crash_loop.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

/// A task at fault crashes no more runners than users accept although holders are lost.
Test(central_batch_crash_loops, batch_task_at_fault_is_held_back_although_holders_are_lost)
{
    check_tasks_at_fault(task_kind::batch, vm_end::kill);
}

namespace {

/// A task crashes its runners, and with each of them other runners crash for another reason.
/// Holders of the lease end at its second and third crash.
void check_task_at_fault_beside_waves(std::uint64_t seed, vm_end how)
{
    constexpr std::size_t runners{24};
    constexpr std::size_t others{6};
    constexpr millis observed{90'000};
    const graph_task_id guilty{{id_of(3)}, 0, 0, 0};
    crash_loop l{seed, task_kind::service, runners};
    l.w.crashing_tasks.insert(guilty);
    l.submit(3, 1, "", task_kind::batch);
    std::uint32_t crashes{0};
    for (const instant end = l.w.now() + observed; l.w.now() < end; l.run_for(look)) {
        if (l.w.crashes_by(guilty) == crashes) {
            continue;
        }
        ++crashes;
        for (std::size_t i{0}; i < others; ++i) {
            l.w.crash_runner_for_a_while((crashes * others + i) % runners);
        }
        if (crashes == 2 || crashes == 3) {
            l.run_for({static_cast<std::int64_t>(400 * seed)});
            l.end_scheduler(how);
        }
    }
    cr_expect_leq(l.w.crashes_by(guilty), max_crashes, "seed %lu: %u runners crashed",
                  static_cast<unsigned long>(seed), l.w.crashes_by(guilty));
    expect_no_violation(l.w);
}

} // namespace

/// Crashes beside others counted for no task, and those that a holder had only seen were forgotten
/// with it (issue 31, BUDGET on large deployments).
Test(central_batch_crash_loops, batch_task_at_fault_is_held_back_beside_other_crashes)
{
    for (std::uint64_t seed{1}; seed <= 10; ++seed) {
        check_task_at_fault_beside_waves(seed, vm_end::kill);
        check_task_at_fault_beside_waves(seed, vm_end::planned_stop);
    }
}
