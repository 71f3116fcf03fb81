/// \file
/// What disturbs services: learned from reports, kept apart by placement, slowed down by pacing.
#include <criterion/criterion.h>

#include "../src/central/codec.h"
#include "central/disturbance_bench.h"

using namespace cuminmoor::central;
using namespace cuminmoor::central::test;
using cuminmoor::millis;

/// Seen on both sites: 16 to 30 cores of one image leave one service at 8 ms and drive another to
/// 147 ms.
Test(central_disturbance, pairs_are_told_apart)
{
    disturbance_bench b;
    b.s.lease.now = role::scheduler;
    b.add_job("calm", "s1", true);
    b.add_job("hurt", "s2", true);
    b.add_job("beside1", "f", false);
    b.add_job("beside2", "f", false);
    runner_record& r1 = b.add_runner("r1");
    runner_record& r2 = b.add_runner("r2");
    b.run_on(r1, "calm", 45);
    b.run_on(r1, "beside1", 6'000);
    b.run_on(r2, "hurt", 300);
    b.run_on(r2, "beside2", 6'000);
    for (int i{0}; i < 8; ++i) {
        learn_disturbance(b.at(), r1);
        learn_disturbance(b.at(), r2);
    }
    const task_place f = find_task(b.s, {{"beside1"}, 0, 0, 0});
    cr_assert_not(is_antagonist(b.s, r1, f));
    cr_assert(is_antagonist(b.s, r2, f));
    cr_assert_lt(expected_latency_rise(b.s, r1, f), expected_latency_rise(b.s, r2, f) / 5);
}

Test(central_disturbance, a_neighbour_that_barely_works_is_not_cleared)
{
    disturbance_bench b;
    b.add_job("calm", "s1", true);
    b.add_job("beside", "f", false);
    runner_record& r = b.add_runner("r1");
    b.run_on(r, "calm", 45);
    b.run_on(r, "beside", 500);
    for (int i{0}; i < 8; ++i) {
        learn_disturbance(b.at(), r);
    }
    cr_assert_eq(b.s.scheduler.learned_disturbance.estimates[0][1].reports, 0);
}

Test(central_disturbance, what_disturbs_is_slowed_down_at_once_and_stopped_if_it_lasts)
{
    disturbance_bench b;
    b.s.lease.now = role::scheduler;
    b.add_job("hurt", "s", true);
    b.add_job("beside", "f", false);
    runner_record& r = b.add_runner("r1");
    b.run_on(r, "hurt", 300);
    b.run_on(r, "beside", 6'000);
    for (int i{0}; i < 8; ++i) {
        learn_disturbance(b.at(), r);
        update_expected_disturbance(b.at(), r);
        pace_runner(b.at(), r);
        b.now = b.now + millis{300};
    }
    cr_assert_eq(r.antagonist_pace, 0);
    bool was_ordered{false};
    for (const effect& e : b.out) {
        const auto* const order = std::get_if<runner_order>(&e);
        was_ordered = was_ordered || (order != nullptr && order->kind == order_kind::pace);
    }
    cr_assert(was_ordered);
    // The service is calm again: the budget grows, and the neighbour works again.
    find_task(b.s, {{"hurt"}, 0, 0, 0}).task->current_run->load = 40;
    find_task(b.s, {{"beside"}, 0, 0, 0}).task->current_run->load = 0;
    for (int i{0}; i < 40; ++i) {
        pace_runner(b.at(), r);
        b.now = b.now + millis{400};
    }
    cr_assert_gt(r.antagonist_pace, 20);
}

Test(central_disturbance, what_was_learned_survives_its_row)
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

Test(central_disturbance, a_row_whose_pairs_do_not_match_its_images_is_refused)
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
