/// \file
/// The same as test_central_crash_loops, with batch tasks.
#include "central/crash_loop.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

Test(central_batch_crash_loops, batch_task_runs_again_although_holders_end_between_crashes)
{
    check_crash_loops(task_kind::batch, 3, vm_end::planned_stop);
    check_crash_loops(task_kind::batch, 3, vm_end::kill);
}

/// A task at fault crashes no more runners than users accept, whoever holds the lease.
Test(central_batch_crash_loops, batch_task_at_fault_is_held_back_although_the_lease_moves)
{
    check_tasks_at_fault(task_kind::batch);
}
