/// \file
/// Tests of the disturbance model, its stored row, and pacing of antagonists.
#include <criterion/criterion.h>

#include "central/disturbance_bench.h"
#include "central/store/codec.h"

using namespace cuminmoor::central;
using namespace cuminmoor::central::test;
using cuminmoor::millis;

/// Disturbance depends on the pair of images. On both sites, 16 to 30 cores of one image left one
/// service at 8 ms and raised another to 147 ms.
Test(central_disturbance, learns_which_image_pairs_disturb)
{
    disturbance_fixture b;
    b.s.lease.current_role = role::scheduler;
    b.add_job("calm", "s1", true);
    b.add_job("disturbed", "s2", true);
    b.add_job("batch1", "f", false);
    b.add_job("batch2", "f", false);
    runner_record& r1 = b.add_runner("r1");
    runner_record& r2 = b.add_runner("r2");
    b.add_run(r1, "calm", 45);
    b.add_run(r1, "batch1", 6'000);
    b.add_run(r2, "disturbed", 300);
    b.add_run(r2, "batch2", 6'000);
    for (int i{0}; i < 8; ++i) {
        learn_disturbance(b.make_context(), r1);
        learn_disturbance(b.make_context(), r2);
    }
    const task_ref f = find_task(b.s, {{"batch1"}, 0, 0, 0});
    cr_assert_not(is_antagonist(b.s, r1, f));
    cr_assert(is_antagonist(b.s, r2, f));
    cr_assert_lt(expected_latency_rise(b.s, r1, f), expected_latency_rise(b.s, r2, f) / 5);
}

Test(central_disturbance, low_cpu_use_gives_no_evidence)
{
    disturbance_fixture b;
    b.add_job("calm", "s1", true);
    b.add_job("batch", "f", false);
    runner_record& r = b.add_runner("r1");
    b.add_run(r, "calm", 45);
    b.add_run(r, "batch", 500);
    for (int i{0}; i < 8; ++i) {
        learn_disturbance(b.make_context(), r);
    }
    cr_assert_eq(b.s.scheduler.learned_disturbance.estimates[0][1].reports, 0);
}

Test(central_disturbance, antagonist_is_throttled_then_paused_then_resumed)
{
    disturbance_fixture b;
    b.s.lease.current_role = role::scheduler;
    b.add_job("disturbed", "s", true);
    b.add_job("batch", "f", false);
    runner_record& r = b.add_runner("r1");
    b.add_run(r, "disturbed", 300);
    b.add_run(r, "batch", 6'000);
    for (int i{0}; i < 8; ++i) {
        b.report(r);
        b.now = b.now + millis{300};
    }
    cr_assert_eq(r.antagonist_pace, 0);
    bool was_ordered{false};
    for (const effect& e : b.out) {
        const auto* const order = std::get_if<runner_order>(&e);
        was_ordered = was_ordered || (order != nullptr && order->kind == order_kind::pace);
    }
    cr_assert(was_ordered);
    // The service is undisturbed again, so the budget grows and the antagonist resumes.
    find_task(b.s, {{"disturbed"}, 0, 0, 0}).task->current_run->load = 40;
    find_task(b.s, {{"batch"}, 0, 0, 0}).task->current_run->load = 0;
    for (int i{0}; i < 40; ++i) {
        b.report(r);
        b.now = b.now + millis{400};
    }
    cr_assert_gt(r.antagonist_pace, 20);
}

Test(central_disturbance, pace_for_headroom_falls_before_the_target_is_missed)
{
    cr_assert_eq(pace_for_headroom(config::calm_latency_percent), full_pace);
    cr_assert_lt(pace_for_headroom(config::disturbed_latency_percent), full_pace / 2);
    cr_assert_eq(pace_for_headroom(config::no_headroom_latency_percent), 0);
    cr_assert_eq(pace_for_headroom(20 * config::no_headroom_latency_percent), 0);
}

namespace {

/// A service at the crest of its demand, beside a task that is known to disturb it little.
struct crest_fixture : disturbance_fixture {
    explicit crest_fixture(bool has_headroom)
    {
        s.self.options.service_headroom = has_headroom;
        s.lease.current_role = role::scheduler;
        add_job("service", "s", true);
        add_job("batch", "f", false);
        runner_record& r = add_runner("r1");
        add_run(r, "service", 45);
        add_run(r, "batch", 6'000);
        for (int i{0}; i < 8; ++i) {
            report(r);
            now = now + millis{400};
        }
        cr_assert_eq(r.benign_pace, full_pace);
        constexpr std::int64_t at_crest{92};
        find_task(s, {{"service"}, 0, 0, 0}).task->current_run->load = at_crest;
        report(r);
    }

    runner_record& runner() { return s.scheduler.runners.at({"r1"}); }
};

} // namespace

/// On dzv-wire-grown, quiet-1, two thirds of the reports of services over their targets were beside
/// neighbours that are known to disturb them little.
Test(central_disturbance, benign_tasks_are_slowed_at_the_crest_of_a_service)
{
    crest_fixture b{true};
    cr_assert_eq(b.runner().benign_pace, 50);
    cr_assert_not(b.runner().is_disturbed);
    find_task(b.s, {{"service"}, 0, 0, 0}).task->current_run->load = 45;
    b.report(b.runner());
    cr_assert_eq(b.runner().benign_pace, full_pace);
}

/// On cpcca-bridge-grown, scale-1, batch waits for room from the first second: slowed, it lost more
/// than services gained.
Test(central_disturbance, benign_tasks_are_not_slowed_while_others_wait_for_a_runner)
{
    crest_fixture b{true};
    b.s.scheduler.leftover_waited_at = b.now;
    b.report(b.runner());
    cr_assert_eq(b.runner().benign_pace, full_pace);
    b.now = b.now + config::headroom_pause;
    b.report(b.runner());
    cr_assert_eq(b.runner().benign_pace, 50);
}

Test(central_disturbance, benign_tasks_run_on_unless_the_deployment_asks_for_headroom)
{
    crest_fixture b{false};
    cr_assert_eq(b.runner().benign_pace, full_pace);
}

Test(central_disturbance, model_round_trips_through_its_row)
{
    disturbance_model learned_disturbance;
    learned_disturbance.images = {{"f", 1}, {"s", 0}};
    learned_disturbance.estimates.assign(2, std::vector<disturbance_estimate>(2));
    learned_disturbance.estimates[0][1] = {3.5, 7};
    learned_disturbance.baseline_latency_percent = 41;
    const auto again = decode_disturbance(encode_disturbance(learned_disturbance));
    cr_assert(again.ok());
    cr_assert(again->images == learned_disturbance.images);
    cr_assert_eq(again->estimates[0][1].log_odds, 3.5);
    cr_assert_eq(again->estimates[0][1].reports, 7);
    cr_assert_eq(again->baseline_latency_percent, 41);
}

Test(central_disturbance, inconsistent_row_is_rejected)
{
    disturbance_model learned_disturbance;
    learned_disturbance.images = {{"f", 1}, {"s", 0}};
    learned_disturbance.estimates.assign(1, std::vector<disturbance_estimate>(2));
    cr_assert_not(decode_disturbance(encode_disturbance(learned_disturbance)).ok());
    learned_disturbance.estimates.assign(2, std::vector<disturbance_estimate>(2));
    learned_disturbance.images["f"] = 5;
    cr_assert_not(decode_disturbance(encode_disturbance(learned_disturbance)).ok());
    cr_assert_not(decode_disturbance("no row of ours").ok());
}
