/// \file
/// Runners that restart under their id while the scheduler does not know: orders reach the new
/// incarnation, and leases are on the clock of the former one.
#include <criterion/criterion.h>

#include "central/expectations.h"
#include "central/store/codec.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

/// Long enough that the clock of the former incarnation is far ahead of that of the new one.
constexpr millis long_life{20'000};
constexpr millis until_leases_have_expired{14'000};
constexpr std::uint64_t seeds{40};
constexpr std::int64_t far_ahead_ms{5'000'000};
/// What a holder counts for a lease of its own.
constexpr millis own_lease{6'222};

graph_job make_service(std::uint64_t id, std::uint32_t tasks)
{
    graph_job job = central_world::make_job(id_of(id), 1, tasks, {400});
    job.steps[0].is_service = true;
    return job;
}

/// Lets a service run on both runners under a clock that is far ahead, and kills its holder.
/// \return the holder's row as a process of an earlier version would have written it.
lease_row replace_by_earlier_version(central_world& w)
{
    w.runner(0).clock_origin.ms = far_ahead_ms;
    w.run_for(warm_up);
    const std::size_t before = *w.scheduler();
    w.submit(before, make_service(1, 8));
    w.run_for({300});
    cr_assert(!w.runner(0).running.empty());
    lease_row row = *w.state_of(before).lease.row;
    row.foreign_leases_end_within.reset();
    w.kill(before);
    return row;
}

/// The other VM reads all rows again once it has the store back.
void lose_store_briefly(central_world& w)
{
    w.faults.store_is_down = true;
    w.run_for({1'500});
    w.faults.store_is_down = false;
}

/// Gives runner 0 the longest lease that it accepts.
void extend_foreign_lease(central_world& w, term_number term)
{
    runner_hold hold;
    hold.term = term;
    hold.lease_until = w.runner(0).clock(w.now()) + long_life;
    w.runner(0).handle(hold, w.now());
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

/// A start that an unnoticed incarnation took would give it a longer lease than the scheduler has
/// ordered: the runner cuts its end to the longest that it accepts, and the run goes on for so long
/// once the runner is cut off.
Test(central_incarnations, unnoticed_incarnation_takes_no_start_and_no_lease)
{
    central_world w{{.vms = 1, .runners = 2}};
    w.crash_breaks_connections = false;
    w.run_for(long_life);
    w.crash_runner(0);
    w.submit(0, make_service(1, 8));
    w.run_for({300});
    cr_assert(w.runner(0).running.empty());
    cr_assert_eq(w.runner(1).running.size(), 8);
    w.faults.unreachable_runners.insert(0);
    w.run_for(until_leases_have_expired);
    cr_assert_eq(w.runner(1).running.size(), 8);
    cr_assert_eq(w.starts(), 8);
    expect_no_violation(w);
}

/// The same under a successor that hears from the runner before it is cut off.
Test(central_incarnations, unnoticed_incarnation_takes_no_start_as_the_lease_moves)
{
    central_world w{{.vms = 2, .runners = 2}};
    w.crash_breaks_connections = false;
    w.run_for(long_life);
    w.crash_runner(0);
    const std::size_t before = *w.scheduler();
    w.submit(before, make_service(1, 8));
    w.run_for({300});
    cr_assert(w.runner(0).running.empty());
    w.stop_gracefully(before);
    w.run_for({1'000});
    cr_assert(w.scheduler() && *w.scheduler() != before);
    w.faults.unreachable_runners.insert(0);
    w.run_for(until_leases_have_expired);
    cr_assert_eq(w.runner(1).running.size(), 8);
    expect_no_violation(w);
}

/// Users saw TWICE: a run went on for 10.2 s without a report, and its task was started elsewhere
/// 6.3 s after it. Here the start is carried out late, after the runner was cut off.
Test(central_incarnations, start_carried_out_late_by_an_unnoticed_incarnation_is_no_second_run)
{
    for (std::uint64_t seed{1}; seed <= seeds; ++seed) {
        central_world w{{.seed = seed, .vms = 1, .runners = 2}};
        w.crash_breaks_connections = false;
        w.run_for(long_life);
        w.crash_runner(0);
        w.faults.late_orders = 1.0;
        w.submit(0, make_service(1, 8));
        w.run_for({100});
        w.faults.late_orders = 0;
        w.faults.unreachable_runners.insert(0);
        w.run_for(until_leases_have_expired + until_leases_have_expired);
        cr_assert_eq(w.runner(1).running.size(), 8);
        expect_no_violation(w);
    }
}

/// The same under a successor that the runner never answers: it knows of no such start.
Test(central_incarnations,
     successor_without_a_report_of_an_unnoticed_incarnation_starts_no_second_run)
{
    for (const std::int64_t work : {20, 200, 500, 1'000}) {
        central_world w{{.vms = 2, .runners = 2}};
        w.crash_breaks_connections = false;
        w.run_for(long_life);
        w.crash_runner(0);
        const std::size_t before = *w.scheduler();
        w.submit(before, make_service(1, 8));
        w.run_for({work});
        w.faults.unreachable_runners.insert(0);
        w.stop_gracefully(before);
        w.run_for(until_leases_have_expired);
        cr_assert_eq(w.runner(1).running.size(), 8);
        expect_no_violation(w);
    }
}

/// A start without an answer may be carried out after the scheduler has learned of the incarnation
/// that received it.
Test(central_incarnations, start_that_may_still_come_is_stopped_by_the_incarnation_that_has_it)
{
    for (std::uint64_t seed{1}; seed <= seeds; ++seed) {
        central_world w{{.seed = seed, .vms = 1, .runners = 2}};
        w.crash_breaks_connections = false;
        w.run_for(long_life);
        w.crash_runner(0);
        w.crash_runner(1);
        w.faults.late_orders = 1.0;
        w.submit(0, make_service(1, 4));
        w.run_for({3'500});
        w.faults.late_orders = 0.5;
        w.run_for({3'000});
        w.faults.late_orders = 0;
        w.run_for(until_leases_have_expired);
        expect_no_violation(w);
    }
}

/// The answer that the former incarnation gave to a stop says nothing about the new one.
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

/// A holder of an earlier version may have given a lease whose end is on another incarnation's
/// clock. What that clock shows does not tell.
Test(central_incarnations, successor_of_an_earlier_version_counts_the_longest_lease)
{
    central_world w{{.vms = 2, .runners = 2}};
    lease_row earlier = replace_by_earlier_version(w);
    w.put_row({table::control, "lease"}, encode_lease(earlier));
    lose_store_briefly(w);
    const instant latest = w.now() + long_life;
    while (!w.scheduler() && w.now() < latest) {
        extend_foreign_lease(w, earlier.term);
        w.run_for({10});
    }
    cr_assert(w.scheduler());
    w.run_for({100});
    w.faults.unreachable_runners.insert(0);
    w.run_for(until_leases_have_expired);
    cr_assert_eq(w.runner(1).running.size(), 8);
    expect_no_violation(w);
}

/// The same if the runner never answers the successor: it is named in the row, or the lease was
/// released before its silence was noticed.
Test(central_incarnations, successor_of_an_earlier_version_waits_for_a_silent_runner)
{
    for (const bool is_named : {true, false}) {
        central_world w{{.vms = 2, .runners = 2}};
        lease_row earlier = replace_by_earlier_version(w);
        earlier.released = !is_named;
        if (is_named) {
            unreported_runner silent;
            silent.runner = w.runner(0).entry.id;
            silent.leases_end_within = own_lease;
            earlier.handed_over->runners.push_back(silent);
        }
        w.put_row({table::control, "lease"}, encode_lease(earlier));
        extend_foreign_lease(w, earlier.term);
        w.faults.unreachable_runners.insert(0);
        lose_store_briefly(w);
        w.run_for(until_leases_have_expired + until_leases_have_expired);
        cr_assert_eq(w.runner(1).running.size(), 8);
        expect_no_violation(w);
    }
}

/// The clock of the next incarnation may be ahead: its answer to a stop is no sign that the former
/// one, and the task that crashed it, lived on.
Test(central_incarnations, answer_of_an_unnoticed_incarnation_is_no_sign_of_life)
{
    central_world w{{.vms = 1, .runners = 1}};
    w.crash_breaks_connections = false;
    w.runner(0).next_clock_origin = [] { return far_ahead_ms; };
    std::size_t suspected{0};
    w.log_to = [&suspected](const std::string& line) {
        const bool is_suspected = line.find("task_suspected task=" + id_of(2)) != std::string::npos;
        suspected += is_suspected ? 1 : 0;
    };
    w.run_for(warm_up);
    w.submit(0, central_world::make_job(id_of(1), 1, 1, long_life));
    w.run_for({300});
    w.submit(0, central_world::make_job(id_of(2), 1, 1, long_life));
    w.run_for({50});
    cr_assert_eq(w.runner(0).running.size(), 2);
    w.crash_runner(0);
    w.cancel(0, id_of(1));
    w.run_for({8'000});
    cr_assert_eq(suspected, 1);
    expect_no_violation(w);
}
