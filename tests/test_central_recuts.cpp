/// \file
/// Runners that restart under their ids and are cut off soon after, whatever their clocks show.
/// `CUMINMOOR_TEST_FIRST_SEED` and `CUMINMOOR_TEST_LAST_SEED` play other seeds.
#include <cstdlib>

#include <criterion/criterion.h>

#include "central/recut_play.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

std::uint64_t seed_from(const char* variable, std::uint64_t otherwise)
{
    const char* const text = std::getenv(variable); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? otherwise : std::stoull(text);
}

void expect_no_violation_with(const recut_options& options)
{
    expect_no_recut_violation(options, seed_from("CUMINMOOR_TEST_FIRST_SEED", 1),
                              seed_from("CUMINMOOR_TEST_LAST_SEED", 100));
}

} // namespace

/// Users saw TWICE: a run that a restarted runner had taken outlived the lease that its holder
/// counted on.
Test(central_recuts, no_task_runs_twice)
{
    expect_no_violation_with({});
}

Test(central_recuts, no_task_runs_twice_if_clocks_begin_near_0)
{
    expect_no_violation_with({.has_any_runner_clocks = false});
}

Test(central_recuts, no_task_runs_twice_if_orders_are_carried_out_late)
{
    expect_no_violation_with({.late_orders = 0.3});
}
