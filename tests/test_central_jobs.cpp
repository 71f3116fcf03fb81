/// \file
/// Jobs under central scheduling: submission, execution, queries and cancellation.
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

Test(central_jobs, jobs_submitted_through_any_vm_complete)
{
    central_world w{{}};
    w.run_for(warm_up);
    cr_assert(w.scheduler().has_value());
    for (int i{0}; i < 6; ++i) {
        w.submit(static_cast<std::size_t>(i) % 3, central_world::make_job(id_of(i), 2, 4, {300}));
    }
    w.run_for({3'000});
    for (int i{0}; i < 6; ++i) {
        w.query(static_cast<std::size_t>(i + 1) % 3, id_of(i));
    }
    w.run_for({100});
    for (int i{0}; i < 6; ++i) {
        cr_assert(w.caller(id_of(i)).was_accepted);
        cr_assert(w.caller(id_of(i)).shown == job_state::completed);
    }
    cr_assert_eq(w.starts(), 48);
    expect_no_violation(w);
}

Test(central_jobs, dependent_task_starts_without_a_store_round_trip)
{
    central_world w{{}};
    w.run_for(warm_up);
    w.submit(0, central_world::make_job(id_of(1), 3, 2, {200}));
    w.run_for({2'000});
    // Time for a message to the scheduler and back, without a store call.
    cr_assert_leq(w.max_dependent_start_delay.count, 5);
    expect_no_violation(w);
}

Test(central_jobs, duplicate_submissions_create_one_job)
{
    central_world w{{}};
    w.run_for(warm_up);
    const graph_job job = central_world::make_job(id_of(7), 1, 3, {200});
    w.submit(0, job);
    w.submit(1, job);
    w.run_for({1'000});
    w.submit(2, job);
    w.run_for({1'000});
    cr_assert_eq(w.starts(), 3);
    expect_no_violation(w);
}

Test(central_jobs, cancelled_job_starts_no_more_tasks)
{
    central_world w{{}};
    w.run_for(warm_up);
    w.submit(0, central_world::make_job(id_of(3), 3, 2, {500}));
    w.run_for({200});
    w.cancel(1, id_of(3));
    w.run_for({200});
    cr_assert(w.caller(id_of(3)).cancel_was_accepted);
    const auto before = w.starts();
    w.run_for({2'000});
    cr_assert_eq(w.starts(), before);
    cr_assert(w.runner(0).running.empty());
    w.query(2, id_of(3));
    w.run_for({100});
    cr_assert(w.caller(id_of(3)).shown == job_state::cancelled);
    expect_no_violation(w);
}

/// Guards against cancellations of which no log tells whether they reached the scheduler.
Test(central_jobs, every_processed_cancellation_has_a_line)
{
    central_world w{{}};
    std::vector<std::string> lines;
    w.log_to = [&](const std::string& line) {
        if (line.find(" cancel_processed ") != std::string::npos) {
            lines.push_back(line.substr(line.find("job=")));
        }
    };
    w.run_for(warm_up);
    const std::size_t follower = (*w.scheduler() + 1) % 3;
    w.submit(0, central_world::make_job(id_of(3), 1, 2, {5'000}));
    w.run_for({200});
    for (const auto& job : {id_of(3), id_of(3), id_of(4)}) {
        w.cancel(follower, job);
        w.run_for({200});
    }
    const std::string from = " forwarded_by=vm" + std::to_string(follower);
    cr_assert_eq(lines.size(), 3);
    cr_assert_eq(lines[0],
                 "job=" + id_of(3) + from + " outcome=ended_now waits_for_store=true waited_ms=0");
    cr_assert_eq(lines[1], "job=" + id_of(3) + from +
                               " outcome=ended_before waits_for_store=false waited_ms=0");
    cr_assert_eq(lines[2], "job=" + id_of(4) + from +
                               " outcome=unknown_job waits_for_store=true waited_ms=0");
}

Test(central_jobs, failing_job_ends_after_max_attempts)
{
    central_world w{{}};
    w.run_for(warm_up);
    w.failing_jobs.insert(id_of(4));
    w.submit(0, central_world::make_job(id_of(4), 1, 1, {100}));
    w.run_for({3'000});
    w.query(0, id_of(4));
    w.run_for({100});
    cr_assert(w.caller(id_of(4)).shown == job_state::failed);
    cr_assert_eq(w.starts(), 3);
    expect_no_violation(w);
}

Test(central_jobs, full_runner_is_not_overcommitted)
{
    central_world w{{.runners = 1}};
    w.run_for(warm_up);
    // 40 tasks of 2 cores on a runner with 16 cores.
    w.submit(0, central_world::make_job(id_of(5), 1, 40, {200}));
    w.run_for({3'000});
    cr_assert_eq(w.starts(), 40);
    expect_no_violation(w);
}

Test(central_jobs, gang_starts_with_one_run_number_or_not_at_all)
{
    central_world w{{.runners = 2}};
    w.run_for(warm_up);
    graph_job job = central_world::make_job(id_of(6), 1, 4, {400});
    job.steps[0].is_gang = true;
    job.steps[0].task_size.milli_cores = 7'000;
    w.submit(0, job);
    // Five members of 7 cores never fit on two runners of 16 cores.
    graph_job wide = central_world::make_job(id_of(8), 1, 5, {400});
    wide.steps[0].is_gang = true;
    wide.steps[0].task_size.milli_cores = 7'000;
    w.submit(0, wide);
    w.run_for({300});
    cr_assert_eq(w.starts(), 4);
    run_number number;
    for (std::size_t i{0}; i < 2; ++i) {
        for (const auto& [task, r] : w.runner(i).running) {
            cr_assert(number.value == 0 || number == r.number);
            number = r.number;
        }
    }
    expect_no_violation(w);
}

Test(central_jobs, scheduled_occurrences_start_when_due)
{
    central_world w{{}};
    w.run_for(warm_up);
    graph_job job = central_world::make_job(id_of(9), 1, 1, {100});
    job.repeats = {3, {1'700'000'000'000 + 3'000}, {1'000}};
    w.submit(0, job);
    w.run_until({2'900});
    cr_assert_eq(w.starts(), 0);
    w.run_until({3'600});
    cr_assert_eq(w.starts(), 1);
    w.run_until({6'000});
    cr_assert_eq(w.starts(), 3);
    w.query(0, id_of(9));
    w.run_for({100});
    cr_assert(w.caller(id_of(9)).shown == job_state::completed);
    expect_no_violation(w);
}

Test(central_jobs, refused_jobs_do_not_run_after_a_store_outage)
{
    central_world w{{}};
    w.run_for(warm_up);
    w.faults.store_is_down = true;
    w.run_for({2'500});
    w.submit(0, central_world::make_job(id_of(10), 1, 2, {100}));
    w.run_for({3'000});
    cr_assert_not(w.caller(id_of(10)).was_accepted);
    w.faults.store_is_down = false;
    w.run_for({5'000});
    if (!w.caller(id_of(10)).may_be_accepted) {
        cr_assert_eq(w.starts(), 0);
    }
    expect_no_violation(w);
}

/// Guards against a job that is accepted and never ends, as its dependencies are counted twice.
Test(central_jobs, step_that_names_a_dependency_twice_starts)
{
    central_world w{{}};
    w.run_for(warm_up);
    graph_job job = central_world::make_job(id_of(1), 3, 2, {100});
    job.steps[2].after = {1, 0, 1};
    w.submit(0, job);
    w.run_for({3'000});
    w.query(0, id_of(1));
    w.run_for({100});
    cr_expect(w.caller(id_of(1)).shown == job_state::completed);
    expect_no_violation(w);
}

/// Guards against a scheduler that refuses all jobs for good: it had dropped the only job that it
/// could not store, so it had nothing to store that would have shown that the store is back.
Test(central_jobs, jobs_are_accepted_again_after_the_store_refused_the_only_one)
{
    central_world w{{}};
    w.run_for(warm_up);
    w.faults.refused_commits = 1;
    w.submit(0, central_world::make_job(id_of(1), 1, 1, {100}));
    w.run_for({1'500});
    cr_assert_not(w.caller(id_of(1)).was_accepted);
    w.faults.refused_commits = 0;
    w.run_for({1'000});
    w.submit(0, central_world::make_job(id_of(2), 1, 1, {100}));
    w.run_for({1'000});
    cr_expect(w.caller(id_of(2)).was_accepted);
    expect_no_violation(w);
}

/// Guards against a successor that starts without the disturbance model (seen on kdl-accra,
/// scale-1): after all processes were killed, twice as many tasks were throttled beside services,
/// because the model had to be learned again.
Test(central_jobs, successor_restores_the_disturbance_model)
{
    central_world w{{}};
    w.run_for(warm_up);
    graph_job job = central_world::make_job(id_of(1), 1, 1, {100});
    job.steps[0].image = "loom";
    w.submit(0, job);
    w.run_for({3'000});
    // This commit stores the model learned so far.
    w.submit(0, central_world::make_job(id_of(2), 1, 1, {100}));
    w.run_for({1'000});
    for (std::size_t vm{0}; vm < 3; ++vm) {
        w.kill(vm);
    }
    for (std::size_t vm{0}; vm < 3; ++vm) {
        w.restart(vm);
    }
    w.run_for({8'000});
    cr_assert(w.scheduler().has_value());
    const auto& learned_disturbance = w.state_of(*w.scheduler()).scheduler.learned_disturbance;
    cr_assert(learned_disturbance.images.contains("loom"));
    expect_no_violation(w);
}
