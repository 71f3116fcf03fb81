/// \file
/// Tests of the relocation of throttled tasks, and of starting tasks of starved jobs.
#include <criterion/criterion.h>

#include "central/disturbance_bench.h"

using namespace cuminmoor::central;
using namespace cuminmoor::central::test;
using cuminmoor::millis;

namespace {

/// Two runners with one service each. Leftover tasks of the same image run on both, but only
/// disturb the service on r2, where they are throttled.
struct throttled_task_fixture : disturbance_fixture {
    throttled_task_fixture()
    {
        s.lease.current_role = role::scheduler;
        s.lease.renewed_at = now;
        s.lease.may_grant = true;
        add_job("calm", "s1", true);
        add_job("disturbed", "s2", true);
        add_job("batch1", "f", false);
        add_job("batch2", "f", false);
        runner_record& r1 = add_runner("r1");
        runner_record& r2 = add_runner("r2");
        add_run(r1, "calm", 45);
        add_run(r1, "batch1", 6'000);
        add_run(r2, "disturbed", 300);
        add_run(r2, "batch2", 6'000);
        for (int i{0}; i < 8; ++i) {
            learn_disturbance(make_context(), r1);
            report(r2);
            now = now + millis{300};
        }
        s.lease.renewed_at = now;
        out.clear();
    }

    graph_step& step() { return s.scheduler.jobs.at({"batch2"}).spec.steps[0]; }
    run& throttled_run() { return *find_task(s, {{"batch2"}, 0, 0, 0}).task->current_run; }

    void place(millis later)
    {
        now = now + later;
        s.lease.renewed_at = now;
        s.scheduler.placement_due = true;
        place_ready_tasks(make_context());
    }

    bool is_relocated()
    {
        relocate_throttled_tasks(make_context());
        for (const effect& e : out) {
            const auto* const order = std::get_if<runner_order>(&e);
            if (order != nullptr && order->kind == order_kind::stop) {
                cr_assert(order->task.job.value == "batch2");
                return true;
            }
        }
        return false;
    }
};

} // namespace

/// On kdl-accra, scale-1, 45 of 180 tasks ran at a third of their speed or less, for up to 21 s,
/// while other runners had a thousand spare cores.
Test(central_relocation, throttled_task_moves_to_runner_without_disturbance)
{
    throttled_task_fixture b;
    cr_assert_lt(b.throttled_run().pace, 50);
    cr_assert(b.is_relocated());
    cr_assert(b.throttled_run().phase == run_phase::stopping);
}

Test(central_relocation, task_stays_without_a_feasible_target)
{
    throttled_task_fixture b;
    b.s.scheduler.runners.at({"r1"}).entry.draining = true;
    cr_assert_not(b.is_relocated());
}

Test(central_relocation, task_stays_if_restarting_costs_more)
{
    throttled_task_fixture b;
    b.step().saves_checkpoints = false;
    b.throttled_run().progress = 90;
    b.throttled_run().pace = 40;
    cr_assert_not(b.is_relocated());
    // A paused task gains even by starting over.
    b.throttled_run().pace = 0;
    b.now = b.now + millis{1'000};
    b.s.lease.renewed_at = b.now;
    cr_assert(b.is_relocated());
}

/// On kdl-accra, hunt-abe0-3, the only task of a job was stopped for relocation and lost the
/// target's capacity to another task. It waited for the rest of the day while most processors were
/// idle.
Test(central_relocation, starved_job_starts_on_runner_that_throttles_it)
{
    throttled_task_fixture b;
    b.s.scheduler.runners.at({"r1"}).entry.draining = true;
    job_record& job = b.add_job("waiting", "f", false);
    b.s.scheduler.recovering = false;
    mark_task_ready(b.make_context(), {{"waiting"}, 0, 0, 0},
                    find_task(b.s, {{"waiting"}, 0, 0, 0}));
    b.place(millis{1'000});
    cr_assert_eq(job.active_runs, 0);
    b.place(millis{1'000});
    cr_assert_eq(job.active_runs, 1);
}

Test(central_relocation, relocation_requires_minimum_speedup)
{
    graph_step step;
    step.run_time = {2'000};
    step.saves_checkpoints = true;
    run r;
    r.pace = 60;
    r.progress = 0;
    cr_assert_not(is_relocation_worthwhile(step.run_time, step, r));
    r.pace = 30;
    cr_assert(is_relocation_worthwhile(step.run_time, step, r));
    r.progress = 90;
    cr_assert_not(is_relocation_worthwhile(step.run_time, step, r));
}
