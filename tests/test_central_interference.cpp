/// \file
/// No service misses its target for long because of leftover tasks beside it, whatever the
/// disturbance model has learned, however late reports are, and while the lease moves.
#include <cstdint>
#include <random>

#include <criterion/criterion.h>

#include "central/interference_world.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

/// Users tolerate that a service misses its target for this long because of its neighbours.
constexpr millis max_harm{4'000};
/// Latency that a leftover task adds, in ms per core.
constexpr double strong{30};
constexpr double very_strong{400};
constexpr millis long_run{60'000};

/// Services beside which leftover tasks have run without any effect for a while.
struct learned_as_harmless_fixture : interference_world {
    bool is_strong{false};

    explicit learned_as_harmless_fixture(millis report_delay) : interference_world{{.runners = 2}}
    {
        added_latency = [this](const std::string&, instant) { return is_strong ? strong : 0; };
        world.faults.report_delay = report_delay;
        submit_service(1, 2);
        submit_leftover(100, 2, "batch", {10'000});
        run_for({12'000});
    }
};

/// Runs until all leftover tasks on the first runner are paused.
void run_until_paused(interference_world& w)
{
    const instant end = w.world.now() + millis{10'000};
    while (w.lowest_pace(0) > 0 && w.world.now() < end) {
        w.run_for({10});
    }
    cr_assert_eq(w.lowest_pace(0), 0);
}

/// Runs until the scheduler has just learned that services on a runner meet their targets.
void run_until_reported(interference_world& w, const runner_id& runner)
{
    const central_state& s = w.world.state_of(*w.world.scheduler());
    const auto before = s.scheduler.runners.at(runner).targets_met_at;
    while (s.scheduler.runners.at(runner).targets_met_at == before) {
        w.run_for({10});
    }
}

/// \return true if the periods of this length that have passed are an even number.
bool is_even_period(instant now, double period_ms)
{
    return static_cast<std::int64_t>(static_cast<double>(now.ms) / period_ms) % 2 == 0;
}

void expect_short_harm(const interference_world& w)
{
    cr_assert_leq(w.longest_harm().count, max_harm.count, "a service was harmed for %lld ms",
                  static_cast<long long>(w.longest_harm().count));
}

} // namespace

/// The model calls the pair harmless, as it was for long, until the load changes.
Test(central_interference, neighbours_learned_as_harmless_are_paused)
{
    learned_as_harmless_fixture w{{700}};
    w.submit_leftover(2, 2, "batch", long_run);
    w.run_for({1'000});
    w.is_strong = true;
    w.run_for({15'000});
    expect_short_harm(w);
}

/// A hold that was sent while no leftover task ran beside services returns up to two seconds after
/// one has started there.
Test(central_interference, harm_that_begins_during_a_long_hold_is_bounded)
{
    learned_as_harmless_fixture w{{400}};
    w.is_strong = true;
    for (std::uint64_t n{2}; n < 8; ++n) {
        w.submit_leftover(n, 2, "batch", {5'000});
        w.run_for({7'300});
    }
    expect_short_harm(w);
}

/// A successor cannot know for how long a service has missed its target, so it must not wait again.
Test(central_interference, handover_does_not_prolong_harm)
{
    learned_as_harmless_fixture w{{400}};
    w.submit_leftover(2, 2, "batch", long_run);
    w.run_for({1'000});
    w.is_strong = true;
    w.run_for({1'600});
    cr_assert(w.is_harmed());
    w.world.stop_gracefully(*w.world.scheduler());
    w.run_for({10'000});
    expect_short_harm(w);
}

/// A successor does not know the paces that its predecessor ordered. Without an order of its own, a
/// paused task would stay paused until the end of its service.
Test(central_interference, tasks_paused_by_the_predecessor_resume)
{
    interference_world w{{.runners = 1}};
    bool is_strong{true};
    w.added_latency = [&](const std::string&, instant) { return is_strong ? very_strong : 0; };
    w.submit_service(1, 1);
    w.submit_leftover(2, 1, "batch", long_run);
    run_until_paused(w);
    w.world.kill(*w.world.scheduler());
    is_strong = false;
    w.run_for({12'000});
    cr_assert_gt(w.lowest_pace(0), 0);
}

/// An order that is carried out seconds late replaces a newer one.
Test(central_interference, task_that_works_in_spite_of_its_pause_is_stopped)
{
    interference_world w{{.runners = 1}};
    w.added_latency = [](const std::string&, instant) { return very_strong; };
    w.submit_service(1, 1);
    w.submit_leftover(2, 1, "batch", long_run);
    run_until_paused(w);
    w.run_for({300});
    auto& running = w.world.runner(0).running;
    for (auto& [id, run] : running) {
        run.pace = 100;
    }
    w.run_for({15'000});
    expect_short_harm(w);
}

/// Calls overtake reports, so the checks that they cause must not take the reports for overdue.
Test(central_interference, calls_that_overtake_reports_cause_no_pause)
{
    learned_as_harmless_fixture w{{0}};
    w.submit_leftover(2, 2, "batch", long_run);
    w.run_for({3'000});
    cr_assert_gt(w.lowest_pace(0), 0);
    run_until_reported(w, {"r0"});
    w.world.faults.runner_event_wait = {2'000};
    const instant end = w.world.now() + millis{2'900};
    while (w.world.now() < end) {
        w.world.query(*w.world.scheduler(), id_of(1));
        w.world.set_listed(0, true);
        w.run_for({20});
        cr_assert_gt(w.lowest_pace(0), 0);
    }
}

/// Strengths, delays, errors and loads vary; the bound does not.
Test(central_interference, random_disturbances_are_bounded, .timeout = 120)
{
    constexpr std::uint64_t seeds{40};
    for (std::uint64_t seed{1}; seed <= seeds; ++seed) {
        std::mt19937_64 random{seed};
        const auto uniform = [&random](double low, double high) {
            return std::uniform_real_distribution<double>{low, high}(random);
        };
        interference_world w{{.seed = seed, .runners = 6}};
        w.world.faults.report_delay = {static_cast<std::int64_t>(uniform(0, 800))};
        const double period_ms = uniform(1'000, 9'000);
        const double swing = uniform(0, 45);
        w.own_latency = [=](instant now) {
            return 10 + (is_even_period(now, period_ms) ? 0 : swing);
        };
        const double first = uniform(0, strong);
        const double second = uniform(0, strong);
        w.added_latency = [=](const std::string& image, instant now) {
            return (image == "a") == is_even_period(now, 2 * period_ms) ? first : second;
        };
        w.report_error = [&] { return uniform(0.96, 1.04); };
        for (std::uint64_t n{1}; n <= 12; ++n) {
            w.submit_service(100 + n, 2);
            w.submit_leftover(200 + n, 3, n % 2 == 0 ? "a" : "b", {3'000});
            w.run_for({1'500});
        }
        w.run_for({6'000});
        cr_assert_leq(w.longest_harm().count, max_harm.count, "seed %llu: harmed for %lld ms",
                      static_cast<unsigned long long>(seed),
                      static_cast<long long>(w.longest_harm().count));
        expect_no_violation(w.world);
    }
}
