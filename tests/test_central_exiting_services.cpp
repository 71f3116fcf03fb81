/// \file
/// Services whose processes exit by themselves: they start again however they end, whoever holds
/// the lease, and at a bounded rate.
#include <algorithm>

#include <criterion/criterion.h>

#include "central/expectations.h"
#include "central/parts.h"
#include "central/store/codec.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::uint32_t tasks{3};
/// Users miss a service task that has had no run for this long.
constexpr millis longest_gap{6'000};
const std::string the_service{id_of(1)};

graph_job service_job(millis run_time)
{
    graph_job job = central_world::make_job(the_service, 1, tasks, run_time);
    job.steps[0].is_service = true;
    return job;
}

/// A service whose tasks exit by themselves after `run_time`.
void submit_exiting_service(central_world& w, millis run_time)
{
    w.run_for(warm_up);
    w.exiting_jobs.insert(the_service);
    w.submit(0, service_job(run_time));
}

std::size_t running_tasks(central_world& w)
{
    std::size_t running{0};
    for (std::size_t i{0}; i < w.runners(); ++i) {
        running += w.runner(i).running.size();
    }
    return running;
}

/// Runs for `time`; all tasks must run at the same time at least once in each `longest_gap`.
void expect_it_lasts(central_world& w, millis time)
{
    const instant end = w.now() + time;
    instant last_complete = w.now();
    while (w.now() < end) {
        w.run_for({5});
        if (running_tasks(w) == tasks) {
            last_complete = w.now();
        }
        cr_assert(w.now() - last_complete < longest_gap, "%zu of %u tasks run", running_tasks(w),
                  tasks);
    }
}

/// Cancels the service; it must have been shown as running until then.
void expect_it_ends_when_cancelled(central_world& w)
{
    const std::size_t vm = *w.scheduler();
    w.query(vm, the_service);
    w.run_for({100});
    cr_expect(w.caller(the_service).shown == job_state::running);
    w.cancel(vm, the_service);
    w.run_for({1'000});
    w.query(vm, the_service);
    w.run_for({100});
    cr_expect(w.caller(the_service).shown == job_state::cancelled);
    cr_expect_eq(running_tasks(w), 0);
    expect_no_violation(w);
}

void restart_all_vms(central_world& w, millis down)
{
    for (std::size_t vm{0}; vm < 3; ++vm) {
        w.kill(vm);
    }
    w.run_for(down);
    for (std::size_t vm{0}; vm < 3; ++vm) {
        w.restart(vm);
    }
}

} // namespace

/// Guards against services that are not started again once their processes have exited with
/// success, and whose jobs are shown as completed (review/8, LOST).
Test(central_exiting_services, service_whose_tasks_end_as_done_starts_again)
{
    central_world w{{}};
    submit_exiting_service(w, {4'000});
    expect_it_lasts(w, {25'000});
    expect_it_ends_when_cancelled(w);
}

Test(central_exiting_services, gang_of_a_service_that_ends_as_done_starts_again)
{
    central_world w{{}};
    w.run_for(warm_up);
    w.exiting_jobs.insert(the_service);
    graph_job job = service_job({4'000});
    job.steps[0].is_gang = true;
    w.submit(0, job);
    expect_it_lasts(w, {25'000});
    expect_it_ends_when_cancelled(w);
}

Test(central_exiting_services, service_starts_again_under_a_holder_that_adopted_its_runs)
{
    central_world w{{}};
    submit_exiting_service(w, {8'000});
    w.run_for({1'000});
    w.kill(*w.scheduler());
    w.run_for({5'500});
    cr_assert_eq(running_tasks(w), tasks);
    expect_it_lasts(w, {25'000});
    expect_it_ends_when_cancelled(w);
}

/// The new holder learns of the end, but never knew the run.
Test(central_exiting_services, service_that_ended_while_no_vm_was_up_starts_again)
{
    central_world w{{}};
    submit_exiting_service(w, {4'000});
    w.run_for({3'500});
    restart_all_vms(w, {1'000});
    expect_it_lasts(w, {20'000});
    expect_it_ends_when_cancelled(w);
}

/// A process of an earlier version stored the tasks of services as done.
Test(central_exiting_services, service_that_is_stored_as_done_starts_again)
{
    central_world w{{}};
    submit_exiting_service(w, {60'000});
    w.run_for({500});
    job_record stored =
        central::make_job(service_job({60'000}), w.state_of(0).operators.newest.queues[0], w.now());
    init_occurrence(stored, 0);
    stored.state = job_state::running;
    stored.occurrences[0].steps[0].tasks[1].status = central::task_status::done;
    restart_all_vms(w, {12'000});
    w.put_row({table::progress, the_service}, encode_progress(stored));
    w.run_for({3'000});
    expect_it_lasts(w, {10'000});
    expect_it_ends_when_cancelled(w);
}

/// A process that exits at once takes neither the scheduler's time nor the store's.
Test(central_exiting_services, service_that_exits_at_once_is_started_at_a_bounded_rate)
{
    constexpr std::uint64_t most_starts{3UL * tasks};
    for (const bool fails : {false, true}) {
        central_world w{{}};
        if (fails) {
            w.failing_jobs.insert(the_service);
        }
        submit_exiting_service(w, {20});
        w.run_for({10'000});
        for (int window{0}; window < 5; ++window) {
            const std::uint64_t before = w.starts();
            w.run_for(longest_gap);
            const std::uint64_t starts = w.starts() - before;
            cr_expect(starts >= tasks && starts <= most_starts, "%lu starts, %s",
                      static_cast<unsigned long>(starts), fails ? "failed" : "done");
        }
        expect_it_ends_when_cancelled(w);
    }
}

/// What ended soon once is not held against the next run that works.
Test(central_exiting_services, service_starts_again_at_once_after_a_run_that_worked)
{
    central_world w{{}};
    submit_exiting_service(w, {20});
    w.run_for({12'000});
    w.exiting_jobs.clear();
    w.run_for({5'000});
    cr_assert_eq(running_tasks(w), tasks);
    w.run_for({10'000});
    for (int i{0}; i < 3; ++i) {
        for (std::size_t r{0}; r < w.runners(); ++r) {
            const auto running = w.runner(r).running;
            for (const auto& [task, run] : running) {
                w.runner(r).fail(task, w.now());
            }
        }
        w.run_for({300});
        cr_expect_eq(running_tasks(w), tasks, "after end %d", i);
        w.run_for({5'000});
    }
    expect_no_violation(w);
}
