/// \file
/// What is out of date has no effect: silence of a runner, a lease that moved while its holder was
/// paused, runners that left and queues that were removed before a restart.
#include <cstdint>
#include <functional>

#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::size_t vms{3};
constexpr std::size_t runners{4};
constexpr std::uint32_t tasks{8};

void query_all(central_world& w, std::uint64_t jobs)
{
    for (std::uint64_t n{1}; n <= jobs; ++n) {
        w.query(0, id_of(n));
    }
    w.run_for({100});
}

void restart_all(central_world& w)
{
    for (std::size_t vm{0}; vm < vms; ++vm) {
        w.kill(vm);
    }
    w.run_for({1'000});
    for (std::size_t vm{0}; vm < vms; ++vm) {
        w.restart(vm);
    }
    w.run_for({8'000});
}

} // namespace

/// A runner that answers nobody for less than a run's lease is not given up.
Test(central_stale, silent_runner_keeps_its_runs)
{
    central_world w{{.vms = vms, .runners = runners}};
    w.run_for(warm_up);
    w.submit(0, central_world::make_job(id_of(1), 1, tasks, {10'000}));
    w.run_for({500});
    for (std::size_t i{0}; i < runners; ++i) {
        w.faults.unreachable_runners.insert(i);
    }
    w.run_for({3'000});
    w.faults.unreachable_runners.clear();
    w.run_for({10'000});
    query_all(w, 1);
    cr_assert(w.all_done(job_state::completed));
    cr_assert_eq(w.starts(), tasks);
    expect_no_violation(w);
}

Test(central_stale, slow_reports_do_not_repeat_work)
{
    central_world w{{.vms = vms, .runners = runners}};
    w.run_for(warm_up);
    constexpr std::size_t steps{3};
    w.faults.report_delay = {1'500};
    w.submit(0, central_world::make_job(id_of(1), steps, tasks, {2'000}));
    w.run_for({25'000});
    query_all(w, 1);
    cr_assert(w.all_done(job_state::completed));
    cr_assert_eq(w.starts(), std::uint64_t{steps} * tasks);
    expect_no_violation(w);
}

/// Both the old and the new holder are alive while the lease moves in the middle of many starts.
Test(central_stale, handover_between_live_vms_starts_each_task_once)
{
    constexpr std::uint64_t jobs{30};
    central_world w{{.vms = vms, .runners = runners}};
    w.run_for(warm_up);
    for (std::uint64_t n{1}; n <= jobs; ++n) {
        w.submit(n % vms, central_world::make_job(id_of(n), 3, 2, {150}));
        w.run_for({20});
        if (n == jobs / 2) {
            w.stop_gracefully(*w.scheduler());
        }
    }
    w.run_for({20'000});
    for (std::size_t vm{0}; vm < vms; ++vm) {
        for (std::uint64_t n{1}; n <= jobs; ++n) {
            w.query(vm, id_of(n));
        }
    }
    w.run_for({100});
    cr_assert(w.all_done(job_state::completed));
    expect_no_violation(w);
}

/// The holder is paused with a start order in its queue, a successor takes over, and the order is
/// sent after all. In half of the cases the successor cannot reach the runner to fence it.
Test(central_stale, order_sent_after_a_pause_starts_nothing_twice)
{
    constexpr std::int64_t longest_ms{14'000};
    constexpr std::int64_t step_ms{500};
    for (std::int64_t pause_ms{step_ms}; pause_ms <= longest_ms; pause_ms += step_ms) {
        for (const bool is_cut : {false, true}) {
            central_world w{{.vms = vms, .runners = 3}};
            w.run_for(warm_up);
            const std::size_t holder = *w.scheduler();
            for (std::size_t vm{0}; vm < vms && is_cut; ++vm) {
                if (vm != holder) {
                    w.faults.unreachable_runner_paths.insert({vm, 0});
                    w.faults.unreachable_runner_paths.insert({vm, 1});
                }
            }
            w.pause_at_next_start(holder, {pause_ms});
            w.submit(holder, central_world::make_job(id_of(1), 2, 6, {2'500}));
            w.run_for({100});
            // The successor starts the tasks elsewhere, so the runner itself cannot tell that the
            // order is out of date.
            w.drain_runner(0);
            w.run_for({pause_ms + 1'000});
            w.faults.unreachable_runner_paths.clear();
            w.run_for({30'000});
            const std::size_t other = (holder + 1) % vms;
            w.query(other, id_of(1));
            w.run_for({100});
            cr_assert(w.all_done(job_state::completed));
            expect_no_violation(w);
        }
    }
}

/// The row of a runner that was used stays in the store until the runner is known to be empty.
Test(central_stale, restarted_vms_use_no_runner_that_left)
{
    for (const std::int64_t wait_ms : {100, 15'000}) {
        central_world w{{.vms = vms, .runners = runners}};
        w.run_for(warm_up);
        w.submit(0, central_world::make_job(id_of(1), 1, tasks, {500}));
        w.run_for({2'000});
        w.set_listed(0, false);
        w.run_for({wait_ms});
        restart_all(w);
        w.submit(0, central_world::make_job(id_of(2), 1, tasks, {2'000}));
        w.run_for({500});
        cr_assert(w.runner(0).running.empty());
        w.run_for({4'000});
        w.query(0, id_of(2));
        w.run_for({100});
        cr_assert(w.caller(id_of(2)).shown == job_state::completed);
        expect_no_violation(w);
    }
}

Test(central_stale, restarted_vms_accept_no_job_for_a_removed_queue)
{
    central_world w{{.vms = vms, .runners = runners}};
    w.run_for(warm_up);
    w.submit(0, central_world::make_job(id_of(1), 1, 1, {100}));
    w.run_for({1'000});
    cr_assert(w.caller(id_of(1)).was_accepted);
    w.change_manifest([](manifest& m) { m.queues.clear(); });
    w.run_for({1'000});
    restart_all(w);
    const std::uint64_t starts = w.starts();
    for (std::size_t vm{0}; vm < vms; ++vm) {
        w.submit(vm, central_world::make_job(id_of(2), 1, 1, {100}));
    }
    w.run_for({5'000});
    cr_assert(w.caller(id_of(2)).was_always_refused());
    cr_assert_eq(w.starts(), starts);
}
