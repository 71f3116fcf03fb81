/// \file
/// Latency bounds promised to operators and job owners, measured over many seeds and printed.
#include <criterion/criterion.h>

#include <algorithm>
#include <iostream>

#include "scenario/world.h"

namespace cm = cuminmoor;
namespace sc = cuminmoor::scenario;

namespace {

constexpr std::uint64_t seeds{100};
constexpr cm::millis max_take_over{7'500};
constexpr cm::millis max_start{2'500};
constexpr cm::millis max_configuration{7'000};

/// Creates two failure domains and a job that makes "a" start tasks continuously.
void start_steady_load(sc::world& w)
{
    w.add_domain("a", 3, 4);
    w.add_domain("b", 2, 2);
    w.run_for({3'000});
    w.submit("j", "a", 2'000, {300}, 8);
}

struct latency_samples {
    std::vector<std::int64_t> ms;

    void print(const char* what)
    {
        std::sort(ms.begin(), ms.end());
        std::cout << what << ": median " << ms[ms.size() / 2] << " ms, 99% "
                  << ms[ms.size() * 99 / 100] << " ms, longest " << ms.back() << " ms, "
                  << ms.size() << " seeds\n";
    }
};

/// \return the time from `from` to the next start in failure domain "a".
cm::millis time_to_start(const sc::world& w, cm::instant from)
{
    const auto& starts = w.check.starts().at({"a"});
    const auto next = std::upper_bound(starts.begin(), starts.end(), from);
    return next == starts.end() ? cm::millis{1'000'000} : *next - from;
}

} // namespace

Test(scheduler_budgets, next_start_after_leader_failure)
{
    latency_samples samples;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        sc::world w{seed};
        start_steady_load(w);
        w.run_for({2'000 + static_cast<std::int64_t>(seed * 37 % 1'000)});
        const cm::instant killed_at = w.now();
        w.kill(w.leader("a"));
        w.run_for({12'000});
        cr_assert(w.check.violation().empty(), "%s", w.check.violation().c_str());
        // Skips 50 ms, as a start order of the killed leader may still be in transit.
        samples.ms.push_back((time_to_start(w, killed_at + cm::millis{50}) + cm::millis{50}).count);
    }
    samples.print("leader killed to next start");
    cr_assert_leq(samples.ms.back(), max_take_over.count);
}

Test(scheduler_budgets, last_start_after_domain_out)
{
    latency_samples samples;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        sc::world w{seed};
        start_steady_load(w);
        w.run_for({2'000 + static_cast<std::int64_t>(seed * 37 % 1'000)});
        w.change(cm::take_domain_out{{"a"}});
        w.run_for({5'000});
        cr_assert(w.check.violation().empty(), "%s", w.check.violation().c_str());
        samples.ms.push_back(w.check.longest_start_after_out().count);
    }
    samples.print("domain out to last start");
}

Test(scheduler_budgets, last_start_after_worker_leaving)
{
    latency_samples samples;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        sc::world w{seed};
        start_steady_load(w);
        w.run_for({2'000 + static_cast<std::int64_t>(seed * 37 % 1'000)});
        w.leave("aw1");
        w.run_for({8'000});
        cr_assert(w.check.violation().empty(), "%s", w.check.violation().c_str());
        samples.ms.push_back(w.check.longest_start_after_leaving().count);
    }
    samples.print("worker leaving to last start");
}

Test(scheduler_budgets, submission_to_start)
{
    latency_samples samples;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        sc::world w{seed};
        w.add_domain("a", 3, 4);
        w.run_for({5'000 + static_cast<std::int64_t>(seed * 37 % 1'000)});
        const cm::instant submitted = w.now();
        w.submit("j", "a", 4, {300}, 8);
        w.run_for({5'000});
        samples.ms.push_back(time_to_start(w, submitted).count);
    }
    samples.print("submission to start, without an inbox hint");
    cr_assert_leq(samples.ms.back(), max_start.count);
}

namespace {

bool is_in_force_everywhere(const sc::world& w, cm::preset p)
{
    return std::all_of(w.vms.begin(), w.vms.end(), [&](const auto& item) {
        return item.second.s.configuration.current.active_preset == p;
    });
}

} // namespace

Test(scheduler_budgets, preset_in_force_everywhere)
{
    constexpr cm::millis poll_interval{10};
    latency_samples samples;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        sc::world w{seed};
        start_steady_load(w);
        // For even seeds, the entry VMs cannot communicate with each other.
        for (auto& [name, vm] : w.vms) {
            vm.cut_peers = seed % 2 == 0;
        }
        w.run_for({2'000 + static_cast<std::int64_t>(seed * 37 % 1'000)});
        const cm::instant accepted = w.now();
        w.change(cm::use_preset{cm::preset::peak});
        while (!is_in_force_everywhere(w, cm::preset::peak) &&
               w.now() - accepted <= max_configuration) {
            w.run_for(poll_interval);
        }
        cr_assert(w.check.violation().empty(), "%s", w.check.violation().c_str());
        samples.ms.push_back((w.now() - accepted).count);
    }
    samples.print("preset accepted to in force everywhere");
    cr_assert_leq(samples.ms.back(), max_configuration.count);
}
