/// \file
/// Tests of expected run times.
#include <criterion/criterion.h>

#include "central/disturbance_bench.h"

using namespace cuminmoor::central;
using namespace cuminmoor::central::test;
using cuminmoor::millis;

namespace {

constexpr millis estimate{2'000};

/// Jobs of one image and size, whose owner's estimate is off.
struct run_times_fixture : disturbance_fixture {
    run_times_fixture() { s.self.options.run_time_correction = true; }

    task_ref task(const std::string& job) { return find_task(s, {{job}, 0, 0, 0}); }

    /// Runs the task once.
    /// \param pace in percent, ordered after the start.
    void run_task(const std::string& job, millis time, std::uint32_t pace = full_pace)
    {
        run r;
        r.ordered_at = now;
        r.is_fresh = true;
        now = now + time;
        r.pace = pace;
        r.paced_at = pace == full_pace ? r.paced_at : now;
        task(job).task->current_run = r;
        record_run_time(make_context(), task(job));
    }
};

} // namespace

/// On dzv-wire-grown and cpcca-bridge-grown owners' estimates are off by half.
Test(central_run_times, estimate_is_corrected_by_ends_of_the_same_step)
{
    run_times_fixture b;
    b.add_job("long", "f", false);
    cr_assert(expected_run_time(b.s, b.task("long")) == estimate);
    for (int i{0}; i < 8; ++i) {
        b.run_task("long", estimate * 3);
    }
    cr_assert_gt(expected_run_time(b.s, b.task("long")).count, 2 * estimate.count);
    cr_assert_leq(expected_run_time(b.s, b.task("long")).count, 3 * estimate.count);
}

Test(central_run_times, other_jobs_of_the_image_and_size_are_corrected_too)
{
    run_times_fixture b;
    b.add_job("long", "f", false);
    b.add_job("next", "f", false);
    b.add_job("other", "g", false);
    for (int i{0}; i < 8; ++i) {
        b.run_task("long", estimate * 3);
    }
    cr_assert_gt(expected_run_time(b.s, b.task("next")).count, 2 * estimate.count);
    cr_assert(expected_run_time(b.s, b.task("other")) == estimate);
}

Test(central_run_times, throttled_runs_tell_nothing)
{
    run_times_fixture b;
    b.add_job("batch", "f", false);
    b.run_task("batch", estimate * 3, 30);
    cr_assert(expected_run_time(b.s, b.task("batch")) == estimate);
}

Test(central_run_times, estimate_stands_unless_the_deployment_asks_for_correction)
{
    run_times_fixture b;
    b.s.self.options.run_time_correction = false;
    b.add_job("long", "f", false);
    b.run_task("long", estimate * 3);
    cr_assert(expected_run_time(b.s, b.task("long")) == estimate);
    cr_assert(b.s.scheduler.run_times.empty());
}
