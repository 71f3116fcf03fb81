/// \file
/// The soak's judge finds what it must and excuses only what it may.
#include <criterion/criterion.h>

#include "judge.h"
#include "scenario.h"

namespace {

using review::run_event;

const std::string task{"job.0.0.0"};

run_event event(run_event::kind what, std::int64_t at_ms, std::uint64_t run,
                const std::string& how = "", const std::string& runner = "r1")
{
    return {what, at_ms, runner, 1, task, run, how};
}

/// A lasting task that lapses at 1 s and runs again at `next_ms`.
soak::observations lapsed_task(std::int64_t next_ms)
{
    soak::observations seen;
    seen.lasting_tasks[task] = 0;
    seen.events = {event(run_event::kind::started, 0, 1),
                   event(run_event::kind::ended, 1'000, 1, "lapsed"),
                   event(run_event::kind::started, next_ms, 2)};
    seen.end_ms = 60'000;
    return seen;
}

std::size_t findings(const soak::observations& seen)
{
    return soak::judge(seen).findings.size();
}

soak::observations answered(const std::string& state, std::int64_t asked_ms)
{
    soak::observations seen;
    seen.accepted["job"] = 1'000;
    seen.answers = {{"job", state, 2, asked_ms}};
    return seen;
}

} // namespace

Test(soak_judge, lasting_task_without_a_run_for_9_s_is_lost)
{
    cr_assert_eq(findings(lapsed_task(9'999)), 0U);
    cr_assert_eq(soak::judge(lapsed_task(9'999)).longest_gap_ms, 8'999);
    cr_assert_eq(findings(lapsed_task(10'000)), 1U);
}

Test(soak_judge, accepted_task_that_never_runs_is_lost)
{
    soak::observations seen = lapsed_task(2'000);
    seen.events.clear();
    cr_assert_eq(findings(seen), 1U);
}

Test(soak_judge, fault_excuses_until_7_s_after_it)
{
    soak::observations seen = lapsed_task(12'999);
    seen.faults = {{5'000, 6'000}};
    cr_assert_eq(findings(seen), 0U);
    seen = lapsed_task(13'000);
    seen.faults = {{5'000, 6'000}};
    cr_assert_eq(findings(seen), 1U);
}

Test(soak_judge, second_run_beside_the_first_is_reported)
{
    soak::observations seen = lapsed_task(2'000);
    seen.events = {event(run_event::kind::started, 0, 1),
                   event(run_event::kind::started, 500, 2, "", "r2")};
    cr_assert_eq(findings(seen), 1U);
}

Test(soak_judge, accepted_job_must_not_be_gone)
{
    cr_assert_eq(findings(answered("410", 4'000)), 0U);
    cr_assert_eq(findings(answered("410", 4'001)), 1U);
    soak::observations seen = answered("410", 9'000);
    seen.troubles = {{{5'000, 6'001}, 2}};
    cr_assert_eq(findings(seen), 0U);
    seen.troubles = {{{5'000, 6'001}, 1}};
    cr_assert_eq(findings(seen), 1U);
    seen.cancelled.insert("job");
    cr_assert_eq(findings(seen), 0U);
}

Test(soak_judge, job_is_not_failed_without_a_failed_run)
{
    soak::observations seen = answered("failed", 9'000);
    cr_assert_eq(findings(seen), 1U);
    seen.events = {event(run_event::kind::started, 1'000, 1),
                   event(run_event::kind::ended, 2'000, 1, "failed")};
    cr_assert_eq(findings(seen), 0U);
    cr_assert_eq(findings(answered("cancelled", 9'000)), 1U);
}

Test(soak_judge, process_that_ends_by_itself_is_reported)
{
    soak::observations seen;
    seen.own_ends = {"edge-1"};
    cr_assert_eq(findings(seen), 1U);
}

Test(soak_scenario, disturbance_is_over_before_the_soak_ends)
{
    constexpr std::int64_t limit_ms{45'000};
    for (std::uint64_t seed{1}; seed <= 200; ++seed) {
        for (const soak::action& each : soak::draw_scenario(seed, {8, 66, 22}).actions) {
            cr_assert_leq(each.at_ms + each.length_ms, limit_ms, "seed %zu",
                          static_cast<std::size_t>(seed));
        }
    }
}
