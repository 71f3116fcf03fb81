/// \file
/// Jobs whose rows exceed what the store takes in one row or one transaction.
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "central/expectations.h"
#include "central/store/codec.h"
#include "central/store/row_parts.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::uint64_t small_job{1};
constexpr std::uint64_t first_large_job{100};
constexpr millis start_at{1'700'000'000'000 + 8'000};

/// \return a job of five steps with 32 tasks each that begins again and again.
graph_job make_scheduled_job(std::uint64_t n, std::uint32_t times, millis interval, millis run_time)
{
    graph_job job = central_world::make_job(id_of(n), 5, 32, run_time);
    job.repeats.count = times;
    job.repeats.first_at = start_at;
    job.repeats.interval = interval;
    return job;
}

void expect_done(central_world& w, std::uint64_t job)
{
    w.query(*w.scheduler(), id_of(job));
    w.run_for({100});
    cr_assert(w.caller(id_of(job)).shown == job_state::completed);
}

} // namespace

/// Guards against a transaction over the store's limit that is repeated for ever, so that no
/// cancellation, job or end is stored any more (review/3).
Test(central_large_jobs, jobs_that_change_together_are_stored_in_several_transactions)
{
    central_world w{{.runners = 4}};
    w.run_for(warm_up);
    constexpr std::uint64_t large_jobs{45};
    constexpr std::uint32_t times{6};
    constexpr millis interval{1'000};
    for (std::uint64_t n{0}; n < large_jobs; ++n) {
        w.submit(n % 3, make_scheduled_job(first_large_job + n, times, interval, {100'000}));
    }
    w.submit(0, central_world::make_job(id_of(small_job), 1, 1, {100'000}));
    w.run_for({17'000});
    w.cancel(0, id_of(small_job));
    w.run_for({1'000});
    cr_assert(w.caller(id_of(small_job)).cancel_was_accepted);
    expect_no_violation(w);
}

/// The same fault with a single job: its progress alone was longer than a row.
Test(central_large_jobs, progress_longer_than_a_row_survives_takeovers)
{
    central_world w{{.runners = 40, .runner_capacity = {64'000, 64'000, 0}}};
    w.run_for(warm_up);
    constexpr std::uint32_t times{24};
    constexpr std::uint64_t tasks{std::uint64_t{times} * 5 * 32};
    const graph_job job = make_scheduled_job(first_large_job, times, {100}, {1'000});
    w.submit(0, job);
    w.run_for({10'500});
    const std::size_t killed = *w.scheduler();
    w.kill(killed);
    w.run_for({5'000});
    w.restart(killed);
    w.stop_gracefully(*w.scheduler());
    w.run_for({30'000});
    expect_done(w, first_large_job);
    cr_assert_eq(w.starts(), tasks);
    expect_no_violation(w);
}

Test(central_large_jobs, a_job_that_no_transaction_can_hold_is_refused)
{
    central_world w{{.runners = 1}};
    w.run_for(warm_up);
    w.submit(0, central_world::make_job(id_of(small_job), 2, 10'000, {1'000}));
    w.run_for({1'000});
    cr_assert(w.caller(id_of(small_job)).was_always_refused());
    expect_no_violation(w);
}

/// Occurrences whose progress has no room in the store wait until earlier ones are finished.
Test(central_large_jobs, occurrences_beyond_the_limit_wait_and_run)
{
    central_world w{{.runners = 40, .runner_capacity = {64'000, 64'000, 0}}};
    w.run_for(warm_up);
    constexpr std::uint32_t tasks{5'000};
    graph_job job = central_world::make_job(id_of(small_job), 1, tasks, {10});
    constexpr std::uint32_t times{3};
    job.repeats.count = times;
    job.repeats.first_at = start_at;
    w.submit(0, job);
    w.run_for({30'000});
    expect_done(w, small_job);
    cr_assert_eq(w.starts(), std::uint64_t{times} * tasks);
    expect_no_violation(w);
}

/// A job that the store rejects for good must not keep the others from being stored.
Test(central_large_jobs, other_jobs_are_stored_beside_one_that_the_store_rejects)
{
    central_world w{{.runners = 4}};
    w.run_for(warm_up);
    constexpr std::uint64_t jobs{20};
    for (std::uint64_t n{1}; n <= jobs; ++n) {
        w.submit(0, central_world::make_job(id_of(n), 1, 1, {500}));
    }
    w.run_for({200});
    w.faults.invalid_jobs.insert(id_of(jobs));
    w.faults.invalid_jobs.insert(id_of(jobs + 1));
    w.submit(0, central_world::make_job(id_of(jobs + 1), 1, 1, {500}));
    w.run_for({5'000});
    cr_assert(w.caller(id_of(jobs + 1)).was_always_refused());
    for (std::uint64_t n{1}; n < jobs; ++n) {
        expect_done(w, n);
    }
    w.faults.invalid_jobs.clear();
    w.run_for({2'000});
    expect_done(w, jobs);
    cr_assert_eq(w.starts(), jobs);
    expect_no_violation(w);
}

Test(central_large_jobs, values_are_split_and_joined)
{
    const table_key key{table::progress, id_of(1)};
    for (const std::size_t bytes : {std::size_t{0}, config::max_row_bytes,
                                    config::max_row_bytes + 1, 12 * config::max_row_bytes}) {
        std::string value(bytes, 'x');
        value += bytes > 0 ? "end" : "";
        std::vector<row_change> changes;
        constexpr std::size_t stored_parts{15};
        append_parts(changes, key, value, stored_parts);
        cr_assert_eq(changes.size(), stored_parts);
        std::map<std::string, std::string> rows{{id_of(2), "another"}};
        for (const row_change& each : changes) {
            if (each.value) {
                cr_assert_leq(each.value->size(), config::max_row_bytes);
                rows[each.row.key] = *each.value;
            }
        }
        auto joined = join_parts(rows);
        cr_assert_eq(joined.size(), 2);
        cr_assert_eq(joined[id_of(1)].value, value);
        cr_assert_eq(joined[id_of(1)].parts, part_count(value));
    }
}
