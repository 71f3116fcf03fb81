/// \file
/// Runners with more unacknowledged ends than a report lists.
#include <cstdint>

#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::size_t runners{2};
constexpr std::size_t listed_ends{20};
constexpr std::uint64_t jobs{20};
constexpr std::uint32_t tasks_of_job{10};
constexpr std::uint64_t tasks{jobs * tasks_of_job};

/// Submits short tasks, and lets them end while nothing can be stored.
void end_tasks_without_store(central_world& w)
{
    for (std::size_t i{0}; i < runners; ++i) {
        w.runner(i).max_listed_ends = listed_ends;
    }
    w.run_for(warm_up);
    for (std::uint64_t n{1}; n <= jobs; ++n) {
        w.submit(n % 3, central_world::make_job(id_of(n), 1, tasks_of_job, {100}));
    }
    w.run_for({100});
    w.faults.store_is_down = true;
    w.run_for({3'000});
}

void expect_each_task_ran_once(central_world& w)
{
    for (std::uint64_t n{1}; n <= jobs; ++n) {
        w.query(0, id_of(n));
    }
    w.run_for({100});
    cr_assert(w.all_done(job_state::completed));
    cr_assert_eq(w.starts(), tasks);
    expect_no_violation(w);
}

} // namespace

/// Guards against tasks that run again although they are done: their ends were behind the first 500
/// of a report, so their runs seemed to be missing (review/2).
Test(central_many_ends, a_run_whose_end_is_not_listed_yet_is_not_missing)
{
    central_world w{{.runners = runners, .runner_capacity = {64'000, 64'000, 0}}};
    end_tasks_without_store(w);
    w.faults.store_is_down = false;
    w.run_for({10'000});
    expect_each_task_ran_once(w);
}

/// The same mistake after a takeover: a runner that answers has not yet reported all that it ran.
Test(central_many_ends, a_successor_waits_for_ends_that_are_not_listed_yet)
{
    central_world w{{.runners = runners, .runner_capacity = {64'000, 64'000, 0}}};
    end_tasks_without_store(w);
    const std::size_t killed = *w.scheduler();
    w.kill(killed);
    w.faults.store_is_down = false;
    w.run_for({20'000});
    w.restart(killed);
    w.run_for(warm_up);
    expect_each_task_ran_once(w);
}
