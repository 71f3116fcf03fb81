/// \file
/// Batch tasks that crash their runners while holders of the lease are lost.
#include "central/crash_loop.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

/// A task at fault crashes no more runners than users accept although holders are lost.
Test(central_batch_crash_loops, batch_task_at_fault_is_held_back_although_holders_are_lost)
{
    check_tasks_at_fault(task_kind::batch, vm_end::kill);
}
