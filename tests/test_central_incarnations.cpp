/// \file
/// Orders and holds that reach another incarnation of the runner than the one they are for.
#include <criterion/criterion.h>

#include "central/fake_runner.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr instant restarted_at{10'000};
/// On the clock of the former incarnation; the new one would reach it seconds later.
constexpr remote_instant former_lease{15'000};

fake_runner restarted_runner()
{
    runner_entry entry;
    entry.id.value = "r0";
    entry.started_at_ms = 1;
    fake_runner r{entry};
    r.crash(restarted_at);
    return r;
}

constexpr runner_incarnation former{1};

} // namespace

/// Guards against runs that outlive the lease that the scheduler computed for them.
Test(central_incarnations, start_for_former_incarnation_is_not_executed)
{
    fake_runner r = restarted_runner();
    runner_order start;
    start.kind = order_kind::start;
    start.run = {1};
    start.lease_until = former_lease;
    task_behaviour behaviour;
    behaviour.run_time = {1'000};
    cr_assert_eq(r.handle(start, former, behaviour, restarted_at), order_result::other_incarnation);
    cr_assert(r.running.empty());
    cr_assert_eq(r.handle(start, r.incarnation(), behaviour, restarted_at), order_result::done);
}

/// The same for a hold that extends the leases.
Test(central_incarnations, lease_for_former_incarnation_is_not_taken)
{
    fake_runner r = restarted_runner();
    runner_hold hold;
    hold.lease_until = former_lease;
    cr_assert_eq(r.handle(hold, former, restarted_at).result, order_result::other_incarnation);
    cr_assert_eq(r.handle(hold, r.incarnation(), restarted_at).result, order_result::done);
    hold.lease_until.reset();
    cr_assert_eq(r.handle(hold, former, restarted_at).result, order_result::done);
}
