/// \file
/// Services that have lost their runs, beside a backlog of batch tasks that takes all room as it
/// comes free.
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "central/service_fixture.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr millis step{20};
/// Time within which a service runs again after it may.
constexpr millis start_time{1'000};
/// Time until the VM that schedules knows that a run that it stopped, or that failed, has ended.
constexpr millis report_time{100};
/// The longest lease of a run, on the slowest clock.
constexpr millis longest_run_lease{6'250};
/// When the VM that schedules is killed after services have lost their runs, and until it is up.
constexpr millis until_end{20};
constexpr millis until_restart{700};
/// Time from its start until it holds the lease again and the runners have reported.
constexpr millis until_known{200};
constexpr millis time_between_ends{4'000};

enum class run_loss : std::uint8_t { runner_vanishes, runner_drains, services_fail };

/// Services with a late deadline, and more batch tasks than can run.
struct busy_fixture : service_fixture {
    static constexpr millis late{60'000};
    static constexpr std::uint64_t jobs_of_priority{16};

    std::uint64_t next_job{services + 1};

    busy_fixture() : service_fixture{1, late}
    {
        for (const std::int32_t priority : {-1, 0, 1}) {
            w.change_manifest([&](manifest& m) { m.queues[0].priority = priority; });
            w.run_for({100});
            submit_batch();
            w.run_for({100});
        }
        // All jobs are overdue.
        w.run_for({1'500});
        cr_assert_eq(running_tasks(), tasks());
    }

    void submit_batch()
    {
        for (std::uint64_t n{0}; n < jobs_of_priority; ++n) {
            const bool is_large = n % 4 == 0;
            graph_job job = central_world::make_job(id_of(next_job++), 1, is_large ? 30 : 100,
                                                    {is_large ? 600 : 300});
            job.steps[0].task_size = {is_large ? 6'000 : 500, 500, 0};
            w.submit(n % 3, job);
        }
    }

    /// \return a runner with services that can be reached.
    std::size_t runner_with_services()
    {
        std::size_t i{0};
        while (i < runners && services_on(i) == 0) {
            ++i;
        }
        cr_assert_lt(i, runners);
        return i;
    }

    void fail_services(std::size_t i)
    {
        for (auto& [id, each] : w.runner(i).running) {
            if (each.behaviour.is_service) {
                each.behaviour.fails = true;
                each.ends_at = w.now() + millis{1};
            }
        }
        w.run_for({2});
    }

    void lose_runs(run_loss how)
    {
        const std::size_t i = runner_with_services();
        switch (how) {
        case run_loss::runner_vanishes:
            lose_runner(i);
            break;
        case run_loss::runner_drains:
            w.drain_runner(i);
            break;
        case run_loss::services_fail:
            fail_services(i);
            break;
        }
    }

    /// \return true if all services run, none of them on a runner that drains.
    bool all_run()
    {
        for (std::size_t i{0}; i < runners; ++i) {
            if (w.runner(i).entry.draining && services_on(i) > 0) {
                return false;
            }
        }
        return running_tasks() == tasks();
    }
};

/// Lets services lose their runs and kills the VM that schedules `ends` times after that.
/// \return the time until all services run again.
millis time_until_all_run(run_loss how, std::size_t ends)
{
    constexpr millis limit{30'000};
    busy_fixture f;
    const instant lost_at = f.w.now();
    f.lose_runs(how);
    for (std::size_t i{0}; i < ends; ++i) {
        f.w.run_until(lost_at + until_end + time_between_ends * static_cast<std::int64_t>(i));
        const std::size_t vm = f.newest_scheduler();
        f.w.kill(vm);
        f.w.run_for(until_restart);
        f.w.restart(vm);
    }
    while (!f.all_run() && f.w.now() - lost_at < limit) {
        f.w.run_for(step);
    }
    const millis time = f.w.now() - lost_at;
    // The last end may have been just now.
    f.w.run_for(until_restart);
    const auto& ready = f.w.state_of(f.newest_scheduler()).scheduler.ready;
    cr_expect_geq(ready.size(), busy_fixture::jobs_of_priority / 2, "the backlog is used up");
    expect_no_violation(f.w);
    cr_log_info("loss %d, ends %zu: %ld ms, %zu ready", static_cast<int>(how), ends, time.count,
                ready.size());
    return time;
}

} // namespace

/// Guards against services that wait for room which batch tasks take first (issue 50, seen by users
/// as LOST).
Test(central_services_first, services_run_again_at_once_beside_a_backlog)
{
    cr_expect_leq(time_until_all_run(run_loss::runner_vanishes, 0).count,
                  (longest_run_lease + start_time).count);
    for (const auto how : {run_loss::runner_drains, run_loss::services_fail}) {
        cr_expect_leq(time_until_all_run(how, 0).count, (report_time + start_time).count);
    }
}

Test(central_services_first, services_run_again_at_once_under_the_next_holders)
{
    const millis until_taken_over = until_end + until_restart + until_known;
    cr_expect_leq(time_until_all_run(run_loss::runner_vanishes, 3).count,
                  (until_taken_over * 3 + longest_run_lease + start_time).count);
    for (const auto how : {run_loss::runner_drains, run_loss::services_fail}) {
        cr_expect_leq(time_until_all_run(how, 1).count, (until_taken_over + start_time).count);
    }
}

/// Guards against long waits of services of which no line tells, and against a line for each round.
Test(central_services_first, long_wait_is_logged_once_a_second)
{
    constexpr millis long_run{30'000};
    constexpr millis observed{5'000};
    service_fixture f{1};
    graph_job batch =
        central_world::make_job(id_of(service_fixture::services + 1), 1, 200, long_run);
    batch.steps[0].task_size = {500, 500, 0};
    f.w.submit(0, batch);
    f.w.run_for(start_time);
    std::vector<std::string> lines;
    f.w.log_to = [&](const std::string& line) {
        if (line.find(" service_waits ") != std::string::npos) {
            lines.push_back(line);
        }
    };
    f.w.drain_runner(0);
    f.w.run_for(observed);
    cr_assert_lt(f.running_tasks(), f.tasks());
    const auto seconds = static_cast<std::size_t>(observed.count / start_time.count);
    cr_expect_leq(lines.size(), seconds);
    cr_assert_geq(lines.size(), seconds - 1);
    for (const char* const field : {"task_withheld=none", "room=5 ", "limit=0 ", "unusable=1",
                                    "started_meanwhile=", "last_started="}) {
        cr_expect(lines[0].find(field) != std::string::npos, "%s in %s", field, lines[0].c_str());
    }
    expect_no_violation(f.w);
}

/// Guards against a large service for which no room is left together, as small tasks take each bit.
Test(central_services_first, room_is_kept_for_a_large_service)
{
    constexpr std::uint64_t jobs{300};
    central_world w{{.vms = 1}};
    w.run_for(warm_up);
    graph_job service = central_world::make_job(id_of(1), 1, 1, start_time);
    service.steps[0].is_service = true;
    service.steps[0].task_size = {12'000, 1'000, 0};
    w.submit(0, service);
    w.run_for(report_time);
    for (std::uint64_t n{0}; n < jobs; ++n) {
        const auto run_time = static_cast<std::int64_t>(200 + 37 * n % 301);
        graph_job batch = central_world::make_job(id_of(n + 2), 1, 12, {run_time});
        batch.steps[0].task_size = {500, 500, 0};
        w.submit(0, batch);
    }
    w.run_for(start_time);
    const graph_task_id task{{id_of(1)}, 0, 0, 0};
    std::size_t place{0};
    while (!w.runner(place).running.contains(task)) {
        ++place;
        cr_assert_lt(place, w.runners());
    }
    w.drain_runner(place);
    w.run_for(report_time + start_time);
    bool runs_elsewhere{false};
    for (std::size_t i{0}; i < w.runners(); ++i) {
        runs_elsewhere = runs_elsewhere || (i != place && w.runner(i).running.contains(task));
    }
    cr_expect(runs_elsewhere);
    cr_expect_geq(w.state_of(0).scheduler.ready.size(), jobs / 4, "the backlog is used up");
    expect_no_violation(w);
}

/// Guards against services that wait for ever while others that fail now and then take their room
/// back (seen by users as LOST).
Test(central_services_first, service_that_has_waited_longest_starts_first)
{
    constexpr std::uint32_t tasks_per_runner{8};
    constexpr millis late{60'000};
    central_world w{{.vms = 1, .runners = 2}};
    w.run_for(warm_up);
    for (const std::uint64_t n : {1, 2}) {
        graph_job job =
            central_world::make_job(id_of(n), 1, tasks_per_runner, n == 1 ? step : late);
        job.steps[0].is_service = true;
        w.submit(0, job);
        w.run_for(start_time);
    }
    const std::size_t lost = w.runner(0).running.contains({{id_of(2)}, 0, 0, 0}) ? 0 : 1;
    cr_assert_eq(w.runner(lost).running.size(), tasks_per_runner);
    const auto runs_of_lost = w.runner(lost).running;
    w.runner(lost).is_up = false;
    w.faults.unreachable_runners.insert(lost);
    w.set_listed(lost, false);
    w.run_for(longest_run_lease + start_time);

    fake_runner& left = w.runner(1 - lost);
    std::set<graph_task_id> have_run_again;
    for (std::uint32_t i{0}; i < tasks_per_runner; ++i) {
        const auto of_first_job = left.running.begin();
        left.fail(graph_task_id{of_first_job->first}, w.now());
        // A runner on which several tasks fail is avoided for a while.
        w.run_for(config::avoid_time + start_time);
        for (const auto& [task, run] : left.running) {
            have_run_again.insert(task);
        }
    }
    for (const auto& [task, run] : runs_of_lost) {
        cr_expect(have_run_again.contains(task), "task %u of job %s", task.index,
                  task.job.value.c_str());
    }
    expect_no_violation(w);
}
