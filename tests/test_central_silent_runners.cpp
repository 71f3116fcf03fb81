/// \file
/// Services that start while a runner has gone silent and the scheduler has not noticed yet.
#include <vector>

#include <criterion/criterion.h>

#include "central/service_fixture.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::size_t silent{0};
constexpr std::size_t sound{1};
/// Time within which a service runs again if its first start reaches its runner.
constexpr millis restart_time{300};
/// Time after which an order without an answer is given up.
constexpr millis order_timeout{1'000};

/// Makes the runner the one with the most spare capacity, so that it is preferred for all starts.
void make_largest(service_fixture& f, std::size_t runner)
{
    f.w.set_capacity(runner, {64'000, 256'000, 0});
    f.w.set_listed(runner, true);
    f.w.run_for({500});
}

/// Ends one service on the runner by its own failure.
/// \return the task.
graph_task_id fail_service(service_fixture& f, std::size_t runner)
{
    cr_assert(!f.w.runner(runner).running.empty());
    graph_task_id task = f.w.runner(runner).running.begin()->first;
    f.w.runner(runner).fail(task, f.w.now());
    return task;
}

bool runs_on_reachable_runner(service_fixture& f, const graph_task_id& task)
{
    for (std::size_t i{0}; i < service_fixture::runners; ++i) {
        if (i != silent && f.w.runner(i).running.contains(task)) {
            return true;
        }
    }
    return false;
}

} // namespace

/// Guards against services that start, one after the other, on a runner that has left the start
/// before without an answer, and then wait for its leases (seen by users as LOST).
Test(central_silent_runners, services_avoid_a_runner_that_left_a_start_unanswered)
{
    service_fixture f{1};
    make_largest(f, silent);
    f.w.faults.unreachable_runners.insert(silent);
    fail_service(f, sound);
    f.w.run_for(order_timeout + millis{100});
    cr_assert(f.w.state_of(f.newest_scheduler()).scheduler.runners.at({"r0"}).is_responsive);
    const graph_task_id task = fail_service(f, sound);
    f.w.run_for(restart_time);
    cr_expect(runs_on_reachable_runner(f, task));
    expect_no_violation(f.w);
}

/// The same for a runner of which only a report is overdue.
Test(central_silent_runners, services_avoid_a_runner_whose_report_is_overdue)
{
    service_fixture f{1};
    make_largest(f, silent);
    f.w.faults.unreachable_runners.insert(silent);
    f.w.run_for(config::hold_wait + config::report_overdue_time + millis{100});
    cr_assert(f.w.state_of(f.newest_scheduler()).scheduler.runners.at({"r0"}).is_responsive);
    const graph_task_id task = fail_service(f, sound);
    f.w.run_for(restart_time);
    cr_expect(runs_on_reachable_runner(f, task));
    expect_no_violation(f.w);
}

/// Guards against a runner that is avoided for good after one order without an answer.
Test(central_silent_runners, services_start_on_a_runner_that_reports_again)
{
    service_fixture f{1};
    make_largest(f, silent);
    f.w.faults.unreachable_runners.insert(silent);
    fail_service(f, sound);
    f.w.run_for(order_timeout + millis{100});
    f.w.faults.unreachable_runners.erase(silent);
    f.w.run_for(config::hold_wait + config::runner_timeout + millis{1'000});
    const graph_task_id task = fail_service(f, sound);
    f.w.run_for(restart_time);
    cr_expect(f.w.runner(silent).running.contains(task));
    expect_no_violation(f.w);
}

/// Guards against services that wait for a hold to time out although the runner, by its answer to
/// a stop, has restarted.
Test(central_silent_runners, service_starts_elsewhere_once_a_stop_reaches_another_incarnation)
{
    service_fixture f{1};
    make_largest(f, silent);
    // A new hold has just begun: it times out long after the start.
    f.w.faults.unreachable_runners.insert(silent);
    const graph_task_id task = fail_service(f, sound);
    f.w.run_for(order_timeout - millis{100});
    f.w.runner(silent).crash_and_change_id(f.w.now());
    f.w.faults.unreachable_runners.clear();
    f.w.run_for(millis{100} + restart_time);
    cr_expect(runs_on_reachable_runner(f, task));
    expect_no_violation(f.w);
}
