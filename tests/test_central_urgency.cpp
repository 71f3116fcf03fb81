/// \file
/// Order of the waiting steps: what can still be in time comes first.
#include <criterion/criterion.h>

#include "central/disturbance_bench.h"
#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

/// Jobs with steps of 1 s each, and waiting steps.
struct waiting_fixture : disturbance_fixture {
    waiting_fixture()
    {
        s.self.options.attainable_first = true;
        s.lease.current_role = role::scheduler;
    }

    /// \param age since its submission; its objective is a second more than its run time.
    job_record& add_waiting_job(const std::string& id, std::size_t steps, millis age)
    {
        queue q;
        q.slack = {1'000};
        const graph_job spec = central_world::make_job(id, steps, 4, {1'000});
        auto& job =
            s.scheduler.jobs.emplace(job_id{id}, make_job(spec, q, now - age)).first->second;
        init_occurrence(job, 0);
        mark_ready_steps(make_context(), job);
        return job;
    }

    std::string order()
    {
        std::string ids;
        for (const ready_key& key : steps_by_urgency(make_context())) {
            ids += key.job.value;
        }
        return ids;
    }
};

struct overload_result {
    int jobs{0};
    int in_time{0};
};

/// Submits jobs for 20 s, a quarter more than the runners have room for, until all have ended.
overload_result play_overload(bool attainable_first, bool kills_holder)
{
    world_options options;
    options.scheduling.attainable_first = attainable_first;
    central_world w{options};
    w.change_manifest([](manifest& m) { m.queues[0].stretch = 2; });
    w.run_for(warm_up);
    overload_result result;
    for (; result.jobs < 100; ++result.jobs) {
        w.submit(*w.scheduler(), central_world::make_job(id_of(result.jobs), 2, 8, {500}));
        w.run_for({200});
        if (kills_holder && result.jobs == 50) {
            const std::size_t holder = *w.scheduler();
            w.kill(holder);
            w.run_for({6'000});
            w.restart(holder);
        }
    }
    w.run_for({20'000});
    for (const auto& [id, job] : w.state_of(*w.scheduler()).scheduler.jobs) {
        cr_assert(job.state == job_state::completed);
        result.in_time += job.ended_at <= job.deadline ? 1 : 0;
    }
    expect_no_violation(w);
    return result;
}

} // namespace

Test(central_urgency, time_to_end_follows_the_longest_chain)
{
    waiting_fixture f;
    graph_job spec = central_world::make_job("a", 4, 1, {100});
    spec.steps[1].after = {0};
    spec.steps[2].after = {0};
    spec.steps[2].run_time = {700};
    spec.steps[3].after = {1, 2};
    job_record job = make_job(spec, {}, f.now);
    const std::vector<millis> expected{{900}, {200}, {800}, {100}};
    cr_assert(times_to_end(f.s, job) == expected);
}

/// Steps that have not begun have no record of their runs.
Test(central_urgency, corrected_run_times_count_for_steps_that_have_not_begun)
{
    waiting_fixture f;
    f.s.self.options.run_time_correction = true;
    const graph_job spec = central_world::make_job("a", 2, 1, {100});
    job_record job = make_job(spec, {}, f.now);
    const std::vector<millis> expected{{200}, {100}};
    cr_assert(times_to_end(f.s, job) == expected);
}

Test(central_urgency, attainable_ends_with_the_objective_and_with_its_late_bound)
{
    queue q;
    q.slack = {1'000};
    const instant start{10'000};
    const job_record job = make_job(central_world::make_job("a", 1, 1, {1'000}), q, start);
    const millis needed{1'000 * (100 + config::attainable_margin_percent) / 100};
    const auto reached = [&](millis age) { return attainable_for(job, start + age, {1'000}); };
    const millis objective{2'000};
    const millis late_bound = objective * config::late_bound_objectives;
    cr_expect(reached(objective - needed) == attainable::objective);
    cr_expect(reached(objective - needed + millis{1}) == attainable::late_bound);
    cr_expect(reached(late_bound - needed) == attainable::late_bound);
    cr_expect(reached(late_bound - needed + millis{1}) == attainable::neither);
}

Test(central_urgency, late_jobs_wait_behind_those_that_can_be_in_time)
{
    waiting_fixture f;
    f.add_waiting_job("a", 1, {10'000});
    f.add_waiting_job("b", 1, {2'000});
    f.add_waiting_job("c", 1, {100});
    f.add_waiting_job("d", 1, {300});
    cr_expect_str_eq(f.order().c_str(), "dcba");
    f.s.self.options.attainable_first = false;
    cr_expect_str_eq(f.order().c_str(), "abdc");
}

Test(central_urgency, what_has_begun_goes_before_what_is_due_sooner)
{
    waiting_fixture f;
    f.add_waiting_job("a", 1, {300});
    job_record& begun = f.add_waiting_job("b", 1, {100});
    begun.occurrences[0].steps[0].ready = 2;
    cr_expect_str_eq(f.order().c_str(), "ba");
    f.now = f.now + millis{10'000};
    cr_expect_str_eq(f.order().c_str(), "ba", "what has begun is finished also when it is late");
    begun.occurrences[0].steps[0].ready = 3;
    cr_expect_str_eq(f.order().c_str(), "ab");
    f.now = f.now - millis{10'000};
    cr_expect_str_eq(f.order().c_str(), "ab");
}

Test(central_urgency, priority_comes_first_and_services_and_repeated_jobs_are_never_late)
{
    waiting_fixture f;
    f.add_waiting_job("a", 1, {100});
    job_record& service = f.add_waiting_job("b", 1, {10'000});
    service.spec.steps[0].is_service = true;
    job_record& repeated = f.add_waiting_job("c", 1, {9'000});
    repeated.spec.repeats.count = 2;
    const ready_key late_and_urgent{-1, f.now, {"d"}, 0, 0};
    f.s.scheduler.ready.insert(late_and_urgent);
    cr_expect_str_eq(f.order().c_str(), "dbca");
}

/// On cpcca-bridge-grown, scale-1, urgent jobs that had come in a burst of 3 s were late for 10 s
/// after it, and batch jobs for the rest of the day.
Test(central_urgency, most_jobs_are_in_time_under_load_that_is_a_little_too_high)
{
    const overload_result plain = play_overload(false, false);
    const overload_result result = play_overload(true, false);
    cr_log_info("%d of %d in time, %d by deadline alone", result.in_time, result.jobs,
                plain.in_time);
    cr_expect_geq(result.in_time * 10, result.jobs * 6);
    cr_expect_geq(result.in_time, plain.in_time * 3 / 2);
}

Test(central_urgency, all_accepted_jobs_end_after_a_take_over_under_load)
{
    play_overload(true, true);
}
