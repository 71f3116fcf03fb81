/// \file
/// Runners that restart under their id while the scheduler does not know: orders reach the new
/// incarnation, and leases are on the clock of the former one.
#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

/// Long enough that the clock of the former incarnation is far ahead of that of the new one.
constexpr millis long_life{20'000};
constexpr millis until_leases_have_expired{14'000};

graph_job make_service(std::uint64_t id, std::uint32_t tasks)
{
    graph_job job = central_world::make_job(id_of(id), 1, tasks, {400});
    job.steps[0].is_service = true;
    return job;
}

} // namespace

/// Users saw TWICE: an acknowledgement that was meant for the former incarnation took ends of the
/// new one off its list, and their tasks started again.
Test(central_incarnations, acknowledgement_does_not_reach_the_next_incarnation)
{
    central_world w{{.vms = 1, .runners = 1}};
    w.run_for(warm_up);
    w.submit(0, central_world::make_job(id_of(1), 1, 1, {300}));
    w.run_for({200});
    w.faults.report_delay = {800};
    w.run_for({200});
    w.crash_runner(0);
    w.submit(0, central_world::make_job(id_of(2), 1, 3, {50}));
    w.run_for({700});
    w.faults.report_delay = {0};
    w.run_for(until_leases_have_expired);
    w.query(0, id_of(1));
    w.query(0, id_of(2));
    w.run_for({500});
    cr_assert(w.all_done(job_state::completed));
    expect_no_violation(w);
}

Test(central_incarnations, restarted_runner_goes_on_with_the_runs_that_it_reports)
{
    central_world w{{.vms = 1, .runners = 1}};
    w.crash_breaks_connections = false;
    w.run_for(long_life);
    w.crash_runner(0);
    w.submit(0, make_service(1, 4));
    w.run_for({10'000});
    cr_assert_eq(w.runner(0).running.size(), 4);
    cr_assert_eq(w.starts(), 4);
    expect_no_violation(w);
}
