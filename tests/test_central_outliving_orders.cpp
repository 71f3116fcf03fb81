/// \file
/// Orders that a restarted runner carries out although they were meant for the incarnation before.
#include <criterion/criterion.h>

#include "central/recut_play.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

/// A start without an answer may be carried out seconds later, by the next incarnation.
Test(central_outliving_orders, no_task_runs_twice)
{
    expect_no_recut_violation({.late_orders = 0.3, .late_orders_outlive_runners = true}, 1, 40);
}
