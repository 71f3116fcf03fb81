/// \file
/// A holder of the lease that cannot reach the store orders starts until it knows that it was
/// replaced: what its successor concludes from reports must hold beside that.
#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::size_t runners{3};
/// A runner that the deposed holder reaches and its successor does not.
constexpr std::size_t out_of_reach{2};
constexpr millis step{25};
/// From the loss of the store until the holder has certainly stopped.
constexpr millis longest_activity{7'000};
constexpr millis until_all_is_known{16'000};

/// A holder without the store beside a successor that does not reach one of the runners.
struct deposed_holder {
    central_world w{{.vms = 2, .runners = runners}};
    std::size_t deposed{0};

    deposed_holder()
    {
        w.run_for(warm_up);
        deposed = *w.scheduler();
    }
    void cut_off()
    {
        w.faults.vms_without_store.insert(deposed);
        w.faults.unreachable_runner_paths.insert({1 - deposed, out_of_reach});
    }
};

} // namespace

/// Users saw TWICE at scale: a hold that waits at a runner is answered although the runner has seen
/// the successor's term since. So both holders learn of the end, and both start what depends on it.
Test(central_deposed_holders, dependents_of_a_run_whose_end_both_holders_see_start_once)
{
    for (millis run_time{2'500}; run_time < longest_activity; run_time = run_time + step) {
        deposed_holder d;
        graph_job job = central_world::make_job(id_of(1), 2, 6, run_time);
        job.steps[0].tasks = 1;
        d.w.submit(d.deposed, job);
        d.w.run_for({50});
        d.cut_off();
        d.w.run_for(run_time + until_all_is_known);
        expect_no_violation(d.w);
    }
}

/// The same for the tasks of a runner that crashes.
Test(central_deposed_holders, tasks_of_a_runner_that_both_holders_lose_start_once)
{
    for (millis lost_after{2'500}; lost_after < longest_activity; lost_after = lost_after + step) {
        deposed_holder d;
        d.w.submit(d.deposed, central_world::make_job(id_of(1), 1, 6, {12'000}));
        d.w.run_for({50});
        d.cut_off();
        d.w.run_for(lost_after);
        d.w.crash_runner_for_a_while(0);
        d.w.run_for(until_all_is_known);
        expect_no_violation(d.w);
    }
}

/// An occurrence that the holder before has started, as its time of day was ahead, is not due yet
/// for its successor, which acknowledged the ends of its tasks without storing them.
Test(central_deposed_holders, tasks_of_an_occurrence_that_is_not_due_yet_start_once)
{
    constexpr millis ahead{4'000};
    constexpr millis until_due{1'500};
    constexpr millis interval{20'000};
    central_world w{{.vms = 2, .runners = 2}};
    w.run_for(warm_up);
    const std::size_t before = *w.scheduler();
    w.set_wall_clock_ahead(before, ahead);
    graph_job job = central_world::make_job(id_of(1), 1, 2, {100});
    job.repeats = {2, wall_clock_at(w.now()) + ahead + until_due, interval};
    w.submit(before, job);
    w.run_for(until_due - millis{100});
    w.faults.vms_without_store.insert(before);
    w.run_for(until_due);
    w.kill(before);
    w.run_for(interval * 2);
    w.query(1 - before, id_of(1));
    w.run_for({500});
    cr_assert(w.all_done(job_state::completed));
    cr_assert_eq(w.starts(), 4);
    expect_no_violation(w);
}

/// Callers were told that a job is unknown which the successor had accepted, as the deposed holder
/// answered from memory (review/7).
Test(central_deposed_holders, job_that_the_successor_has_accepted_is_not_unknown)
{
    deposed_holder d;
    const std::size_t successor = 1 - d.deposed;
    d.cut_off();
    while (d.w.state_of(successor).lease.current_role != role::scheduler) {
        d.w.run_for(step);
    }
    d.w.submit(successor, central_world::make_job(id_of(1), 1, 2, {4'000}));
    d.w.run_for({100});
    cr_assert(d.w.caller(id_of(1)).was_accepted);
    bool was_deposed{false};
    for (int i{0}; i < 40; ++i) {
        was_deposed = was_deposed || d.w.state_of(d.deposed).lease.current_role == role::scheduler;
        d.w.query(d.deposed, id_of(1));
        d.w.cancel(d.deposed, id_of(2));
        d.w.run_for({100});
    }
    cr_assert(was_deposed);
    cr_expect_not(d.w.caller(id_of(2)).cancel_acknowledged_at.has_value());
    expect_no_violation(d.w);
}
