/// \file
/// What may not wait while results of runners wait: ticks and the checks of the runners.
#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

/// Longest time that a check is late.
constexpr millis max_delay{100};
/// Longer than anything that a check waits for here.
constexpr millis long_wait{5'000};

const runner_record& runner_of(const central_world& w, const char* id)
{
    return w.state_of(0).scheduler.runners.at({id});
}

/// Cuts the first runner off and waits until it counts as lost.
void lose_runner(central_world& w)
{
    w.faults.unreachable_runners.insert(0);
    while (runner_of(w, "r0").is_responsive) {
        w.run_for({10});
    }
}

} // namespace

/// No hold went to 350 new runners for 17 s, as ticks waited behind results of the others.
Test(central_busy_loop, new_runner_gets_a_hold_while_results_wait)
{
    central_world w{{.vms = 1}};
    w.set_listed(3, false);
    w.run_for(warm_up);
    w.faults.runner_event_wait = long_wait;
    w.run_for({500});
    w.set_listed(3, true);
    w.run_for(max_delay);
    cr_expect_geq(runner_of(w, "r3").holds_sent, 1);
}

/// No lease of a lost runner expired for 27 s. A service, as it does not wait for a report of its
/// end after that.
Test(central_busy_loop, leases_of_lost_runner_expire_while_results_wait)
{
    central_world w{{.vms = 1, .runners = 1}};
    w.run_for(warm_up);
    graph_job job = central_world::make_job(id_of(1), 1, 1, {60'000});
    job.steps[0].is_service = true;
    w.submit(0, job);
    w.run_for({300});
    lose_runner(w);
    const runner_record& r = runner_of(w, "r0");
    cr_assert_eq(r.runs.size(), 1);
    w.faults.runner_event_wait = long_wait;
    w.run_until(r.leases_expire_by + max_delay);
    cr_expect(r.runs.empty());
    expect_no_violation(w);
}

/// A run that has ended must not start again because the report of its end was not read in time.
Test(central_busy_loop, run_in_a_report_that_waits_is_not_lost)
{
    central_world w{{.vms = 1, .runners = 2}};
    w.run_for(warm_up);
    w.submit(0, central_world::make_job(id_of(1), 1, 1, {3'000}));
    w.run_for({300});
    lose_runner(w);
    cr_assert_eq(runner_of(w, "r0").runs.size(), 1);
    w.faults.unreachable_runners.clear();
    w.faults.runner_event_wait = long_wait;
    w.run_for(long_wait * 2);
    w.faults.runner_event_wait = {0};
    w.query(0, id_of(1));
    w.run_for({100});
    cr_expect(w.all_done(job_state::completed));
    cr_expect_eq(w.starts(), 1);
    expect_no_violation(w);
}

Test(central_busy_loop, runner_whose_report_waits_is_not_overdue)
{
    central_world w{{.vms = 1, .runners = 2}};
    w.run_for(warm_up);
    w.faults.runner_event_wait = {2'000};
    const instant end = w.now() + long_wait;
    while (w.now() < end) {
        w.run_for({10});
        cr_assert_not(runner_of(w, "r0").is_overdue, "at %lld", static_cast<long long>(w.now().ms));
    }
}
