/// \file
/// Look-ahead in placement: many small tasks beside a few large ones, on few runners.
#include <cstdint>
#include <random>
#include <string>

#include <criterion/criterion.h>

#include "central/expectations.h"
#include "central/parts.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::size_t runners{2};
constexpr resources runner_capacity{16'000, 64'000, 0};
constexpr resources small_size{4'000, 1'000, 0};
constexpr resources large_size{14'000, 1'000, 0};
/// One small task for each 120 ms keeps both runners full, as eight fit and each takes 1 s.
constexpr millis small_period{120};
constexpr millis task_time{1'000};
constexpr std::uint64_t small_jobs{60};
constexpr std::uint64_t large_number{9'000};

central_world make_world(bool has_lookahead, std::size_t vms = 1)
{
    return central_world{{.vms = vms,
                          .runners = runners,
                          .runner_capacity = runner_capacity,
                          .scheduling = {.lookahead = has_lookahead}}};
}

graph_job job_of(std::uint64_t number, const resources& size, millis run_time)
{
    graph_job job = central_world::make_job(id_of(number), 1, 1, run_time);
    job.steps[0].task_size = size;
    return job;
}

/// Submits small jobs, one in each period; the large one after some of them.
/// \return when the large job was first shown as started or done; `never` if not before the last
/// small one was submitted.
instant play(central_world& w, millis small_time = task_time)
{
    constexpr std::uint64_t before_large{12};
    instant started{never};
    w.run_for(warm_up);
    for (std::uint64_t n{1}; n <= small_jobs; ++n) {
        w.submit(0, job_of(n, small_size, small_time));
        if (n == before_large) {
            w.submit(0, job_of(large_number, large_size, task_time));
        }
        w.run_for(small_period);
        if (n > before_large) {
            w.query(0, id_of(large_number));
            const bool is_started = w.caller(id_of(large_number)).was_started;
            started = is_started ? std::min(started, w.now()) : started;
        }
    }
    return started;
}

void expect_all_done(central_world& w)
{
    constexpr millis time_for_the_rest{40'000};
    w.run_for(time_for_the_rest);
    for (std::uint64_t n{1}; n <= small_jobs; ++n) {
        w.query(0, id_of(n));
    }
    w.query(0, id_of(large_number));
    w.run_for({1'000});
    cr_assert(w.all_done(job_state::completed));
    expect_no_violation(w);
}

} // namespace

/// Each gap of 4 cores went to the next small task, so that 14 cores were never free.
Test(central_lookahead, large_task_starts_although_small_ones_keep_coming)
{
    central_world plain = make_world(false);
    cr_expect_eq(play(plain), never, "starts without look-ahead, too");
    central_world w = make_world(true);
    cr_assert_lt(play(w), never);
    cr_assert_gt(w.state_of(0).scheduler.lookahead.used, 0);
    expect_all_done(w);
}

/// Small tasks that end before the room is expected are not held off.
Test(central_lookahead, short_tasks_fill_the_gap)
{
    central_world w = make_world(true);
    w.run_for(warm_up);
    constexpr std::uint64_t fillers{4};
    constexpr millis long_time{2'500};
    for (std::uint64_t n{1}; n <= fillers; ++n) {
        w.submit(0, job_of(n, {6'000, 1'000, 0}, long_time));
    }
    w.run_for({200});
    w.submit(0, job_of(large_number, large_size, task_time));
    w.run_for({200});
    cr_assert_eq(w.state_of(0).scheduler.reserved_runners.size(), 1);
    constexpr std::uint64_t first_short{100};
    constexpr std::uint64_t shorts{2};
    for (std::uint64_t n{0}; n < shorts; ++n) {
        graph_job job = job_of(first_short + n, small_size, {300});
        // A long step behind the short one makes it less urgent than the large job.
        graph_step last = job.steps[0];
        last.run_time = {5'000};
        last.after = {0};
        job.steps.push_back(last);
        w.submit(0, job);
    }
    w.run_for({200});
    for (std::uint64_t n{0}; n < shorts; ++n) {
        cr_expect(w.caller(id_of(first_short + n)).was_started);
    }
    expect_no_violation(w);
}

Test(central_lookahead, tenfold_run_times_delay_but_do_not_block)
{
    central_world w = make_world(true);
    w.run_time_factor = 10;
    play(w, {100});
    expect_all_done(w);
}

Test(central_lookahead, estimates_ten_times_too_long_do_not_starve_small_tasks)
{
    central_world w = make_world(true);
    w.run_time_factor = 0.1;
    play(w, {10'000});
    expect_all_done(w);
}

Test(central_lookahead, next_holder_keeps_room_anew)
{
    central_world w = make_world(true, 3);
    w.run_for(warm_up);
    constexpr std::uint64_t before_large{12};
    constexpr std::uint64_t before_kill{16};
    constexpr std::size_t caller_vm{2};
    for (std::uint64_t n{1}; n <= small_jobs; ++n) {
        const std::size_t vm = w.scheduler().value_or(0) == caller_vm ? 1 : caller_vm;
        w.submit(vm, job_of(n, small_size, task_time));
        if (n == before_large) {
            w.submit(vm, job_of(large_number, large_size, task_time));
        }
        if (n == before_kill) {
            const std::size_t holder = *w.scheduler();
            w.kill(holder);
            w.run_for({3'000});
            w.restart(holder);
        }
        w.run_for(small_period);
    }
    expect_all_done(w);
}

/// A reservation on a runner that drains is given up.
Test(central_lookahead, reservation_ends_with_its_runner)
{
    central_world w = make_world(true);
    w.run_for(warm_up);
    for (std::uint64_t n{1}; n <= 4; ++n) {
        w.submit(0, job_of(n, {6'000, 1'000, 0}, {2'500}));
    }
    w.run_for({200});
    w.submit(0, job_of(large_number, large_size, task_time));
    w.run_for({200});
    const auto& reserved = w.state_of(0).scheduler.reserved_runners;
    cr_assert_eq(reserved.size(), 1);
    const runner_id kept_on = *reserved.begin();
    for (std::size_t i{0}; i < runners; ++i) {
        if (w.runner(i).entry.id == kept_on) {
            w.drain_runner(i);
        }
    }
    w.run_for({1'000});
    cr_assert_not(reserved.contains(kept_on));
    w.run_for({6'000});
    for (const std::uint64_t n :
         {std::uint64_t{1}, std::uint64_t{2}, std::uint64_t{3}, std::uint64_t{4}, large_number}) {
        w.query(0, id_of(n));
    }
    w.run_for({200});
    cr_assert(w.all_done(job_state::completed));
}

/// Where the estimates hold, nothing that starts in a gap delays what the room is kept for.
Test(central_lookahead, what_ends_in_time_never_delays_the_reserved_task)
{
    std::mt19937_64 random{1};
    std::uniform_int_distribution<std::int64_t> any{0, 20'000};
    std::uniform_int_distribution<std::int64_t> excess{0, config::backfill_margin_percent};
    constexpr int cases{10'000};
    for (int i{0}; i < cases; ++i) {
        const backfill task{instant{any(random)}, millis{any(random)}, instant{any(random)}};
        const millis run_time{task.expected_run_time.count * (100 + excess(random)) / 100};
        const bool is_in_time = task.now + run_time <= task.reserved_at;
        cr_assert(!ends_in_time(task) || is_in_time);
    }
}
