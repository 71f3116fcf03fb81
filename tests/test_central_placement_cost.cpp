/// \file
/// Work of placement while all runners are full, and use of the capacity that becomes free.
#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::size_t runners{60};
constexpr std::uint64_t waiting_jobs{600};
/// Tasks of the virtual world's default size that fill a runner.
constexpr std::uint32_t tasks_per_runner{8};
/// A tenth of a core.
constexpr std::int64_t small_vm_milli_cores{100};
/// Runners that such a VM may score per millisecond for tasks that do not start.
constexpr std::uint64_t max_scored_per_ms{config::max_scored_runners_per_ms * small_vm_milli_cores /
                                          1'000};

central_world make_world()
{
    central_world w{{.vms = 1, .runners = runners, .capacities = {{small_vm_milli_cores, {}}}}};
    w.run_for(warm_up);
    return w;
}

/// A job whose tasks need more processor time and less memory than those of lower numbers, so that
/// no rejection of another job tells that they do not fit.
graph_job job_of_own_size(std::uint64_t n, std::uint32_t tasks, millis run_time)
{
    graph_job job = central_world::make_job(id_of(n), 1, tasks, run_time);
    const auto step = static_cast<std::int64_t>(n);
    job.steps[0].task_size = {1'000 + step, 5'000 - step, 0};
    return job;
}

} // namespace

/// With 490 full runners, each round scored all of them for each waiting step. This took all of the
/// scheduler's time, so that cancellations got no answer for 20 s.
Test(central_placement_cost, full_runners_are_not_scored_again_and_again)
{
    central_world w = make_world();
    for (std::uint64_t n{1}; n <= waiting_jobs; ++n) {
        const auto run_time = static_cast<std::int64_t>(700 + 7 * n % 600);
        w.submit(0, job_of_own_size(n, tasks_per_runner, {run_time}));
    }
    w.run_for({1'000});
    const std::uint64_t scored_before = w.state_of(0).scheduler.runners_scored;
    const std::uint64_t starts_before = w.starts();
    constexpr millis observed{2'000};
    w.run_for(observed);
    const std::uint64_t scored = w.state_of(0).scheduler.runners_scored - scored_before;
    const std::uint64_t starts = w.starts() - starts_before;
    cr_log_info("%lu runners scored for %lu starts, %lu rounds", scored, starts,
                w.state_of(0).scheduler.placement_rounds);
    cr_assert_geq(w.state_of(0).scheduler.ready.size(), waiting_jobs / 4);
    cr_expect_geq(starts, runners * tasks_per_runner);
    // The last round may exceed its share, as the next one waits in return.
    const std::uint64_t bound = max_scored_per_ms * observed.count +
                                config::max_scored_runners_per_round + starts * runners;
    cr_expect_leq(scored, bound, "%lu runners scored for %lu starts", scored, starts);
    expect_no_violation(w);
}

Test(central_placement_cost, freed_capacity_goes_to_most_urgent_step_at_once)
{
    constexpr millis long_run{20'000};
    constexpr std::uint64_t first_waiting{runners + 1};
    constexpr std::uint64_t urgent{first_waiting + waiting_jobs};
    constexpr std::uint64_t newest{urgent + 1};
    central_world w = make_world();
    for (std::uint64_t n{1}; n <= runners; ++n) {
        w.submit(0, central_world::make_job(id_of(n), 1, tasks_per_runner, long_run));
    }
    w.run_for({300});
    cr_assert_eq(w.starts(), runners * tasks_per_runner);
    for (std::uint64_t n{first_waiting}; n < urgent; ++n) {
        w.submit(0, job_of_own_size(n, 1, long_run));
    }
    w.submit(0, central_world::make_job(id_of(urgent), 1, tasks_per_runner, {500}));
    w.run_for({500});
    cr_assert_eq(w.starts(), runners * tasks_per_runner);
    w.cancel(0, id_of(1));
    w.submit(0, job_of_own_size(newest, 1, long_run));
    w.run_for({100});
    const auto& jobs = w.state_of(0).scheduler.jobs;
    cr_expect_eq(jobs.at({id_of(urgent)}).active_runs, tasks_per_runner);
    cr_expect_eq(w.starts(), (runners + 1) * tasks_per_runner);
    expect_no_violation(w);
}

/// After each change of the manifest all runners were offered to all waiting steps in one round,
/// and the long pause after it left free capacity idle.
Test(central_placement_cost, changes_of_all_runners_do_not_make_rounds_dear)
{
    constexpr millis long_run{20'000};
    constexpr std::uint64_t changes{20};
    central_world w = make_world();
    for (std::uint64_t n{1}; n <= runners; ++n) {
        w.submit(0, central_world::make_job(id_of(n), 1, tasks_per_runner, long_run));
    }
    for (std::uint64_t n{1}; n <= waiting_jobs; ++n) {
        w.submit(0, job_of_own_size(runners + n, 1, long_run));
    }
    w.run_for({1'000});
    const scheduler_state& s = w.state_of(0).scheduler;
    for (std::uint64_t i{0}; i < changes; ++i) {
        w.change_manifest([](manifest& /*m*/) {});
        const std::uint64_t scored_before = s.runners_scored;
        const std::uint64_t rounds_before = s.placement_rounds;
        w.run_for({50});
        const std::uint64_t rounds = s.placement_rounds - rounds_before;
        const std::uint64_t scored = s.runners_scored - scored_before;
        cr_expect_leq(scored, (rounds + 1) * config::max_scored_runners_per_round,
                      "%lu runners scored in %lu rounds", scored, rounds);
    }
    const std::uint64_t starts = w.starts();
    w.cancel(0, id_of(1));
    w.run_for(config::max_placement_pause * 2);
    cr_expect_geq(w.starts(), starts + tasks_per_runner - 1);
    expect_no_violation(w);
}

/// Services that wait for room were offered all runners again in each pass, and one by one. This
/// took most of the scheduler's time while a hundred waited.
Test(central_placement_cost, waiting_services_are_offered_what_has_changed)
{
    constexpr std::size_t lost_runners{12};
    constexpr std::uint64_t services{runners};
    central_world w = make_world();
    for (std::uint64_t n{1}; n <= services; ++n) {
        graph_job job = job_of_own_size(n, tasks_per_runner, {60'000});
        job.steps[0].is_service = true;
        // No runner takes more than `tasks_per_runner` of them.
        const auto step = static_cast<std::int64_t>(n);
        job.steps[0].task_size = {1'900 + step, 7'500 - step, 0};
        w.submit(0, job);
    }
    w.run_for({2'000});
    cr_assert_eq(w.starts(), services * tasks_per_runner);
    for (std::size_t i{0}; i < lost_runners; ++i) {
        w.runner(i).is_up = false;
        w.faults.unreachable_runners.insert(i);
        w.set_listed(i, false);
    }
    w.run_for({10'000});
    const auto& s = w.state_of(0).scheduler;
    cr_assert_eq(s.waiting_services.size(), lost_runners * tasks_per_runner);
    const std::uint64_t scored_before = s.runners_scored;
    const std::uint64_t passes_before = s.service_passes;
    constexpr millis observed{5'000};
    w.run_for(observed);
    const std::uint64_t scored = s.runners_scored - scored_before;
    const std::uint64_t passes = s.service_passes - passes_before;
    cr_log_info("%lu runners scored in %lu passes", scored, passes);
    cr_expect_geq(passes, observed.count / config::service_check_period.count / 2);
    // To start a task of each step, and to keep room for one.
    const std::uint64_t full_pass = 2 * services * (runners - lost_runners);
    const auto full_passes =
        static_cast<std::uint64_t>(observed.count / config::full_service_pass_period.count + 1);
    cr_expect_leq(scored, full_passes * full_pass, "%lu runners scored in %lu passes", scored,
                  passes);
    expect_no_violation(w);
}

/// Rounds that took longer than expected followed each other without a pause.
Test(central_placement_cost, slow_round_is_followed_by_a_pause_of_the_same_length)
{
    constexpr millis slow{80};
    central_world w = make_world();
    for (std::uint64_t n{1}; n <= runners + 1; ++n) {
        w.submit(0, central_world::make_job(id_of(n), 1, tasks_per_runner, {20'000}));
    }
    w.run_for({1'000});
    central_state s = w.state_of(0);
    const auto rounds_after_change_at = [&s](instant now) {
        reduce(s, registry_changed{}, now, millis{0});
        return s.scheduler.placement_rounds;
    };
    const std::uint64_t before = s.scheduler.placement_rounds;
    const instant begin = w.now() + millis{200};
    cr_assert_eq(rounds_after_change_at(begin), before + 1);
    end_step(s, begin + slow);
    cr_expect_eq(rounds_after_change_at(begin + slow * 2 - millis{1}), before + 1);
    cr_expect_eq(rounds_after_change_at(begin + slow * 2), before + 2);
}
