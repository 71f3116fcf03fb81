/// \file
/// The VM that schedules loses the store shortly after a runner has gone silent.
#include <algorithm>
#include <map>

#include <criterion/criterion.h>

#include "central/service_fixture.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::uint64_t seeds{10};
constexpr millis step{50};
/// Time for which the VM has no store; another one takes over meanwhile.
constexpr millis time_without_store{9'000};
constexpr millis time_until_all_run{12'000};

/// When each task was last seen running, on whatever runner.
using last_runs = std::map<graph_task_id, instant>;

/// \return the longest time without a run that ends now, or that has not ended.
millis look(service_fixture& f, last_runs& last)
{
    for (std::size_t i{0}; i < service_fixture::runners; ++i) {
        for (const auto& [id, each] : f.w.runner(i).running) {
            last[id] = f.w.now();
        }
    }
    millis longest;
    for (const auto& [id, at] : last) {
        longest = std::max(longest, f.w.now() - at);
    }
    return longest;
}

millis longest_gap_within(service_fixture& f, last_runs& last, millis time)
{
    millis longest;
    const instant end = f.w.now() + time;
    while (f.w.now() < end) {
        f.w.run_for(step);
        longest = std::max(longest, look(f, last));
    }
    return longest;
}

/// \param until_store_is_lost time from the loss of the runner.
/// \return the longest time for which a task has no run.
millis longest_gap(std::uint64_t seed, millis until_store_is_lost)
{
    service_fixture f{seed};
    last_runs last;
    // Holds differ in their age when the runner goes silent.
    f.w.run_for({static_cast<std::int64_t>(seed) * 190});
    f.w.faults.unreachable_runners.insert(seed % service_fixture::runners);
    millis longest = longest_gap_within(f, last, until_store_is_lost);
    f.w.faults.vms_without_store.insert(f.newest_scheduler());
    longest = std::max(longest, longest_gap_within(f, last, time_without_store));
    f.w.faults.vms_without_store.clear();
    longest = std::max(longest, longest_gap_within(f, last, time_until_all_run));
    cr_expect_eq(f.running_tasks(), service_fixture::tasks());
    expect_no_violation(f.w);
    return longest;
}

} // namespace

/// Guards against services that wait twice for the leases of a silent runner, as the VM that
/// schedules noticed its silence only after it had lost the store (seen by users as LOST).
Test(central_unnoticed_losses, services_of_a_silent_runner_run_again_although_the_store_is_lost)
{
    for (millis until_lost{1'000}; until_lost <= millis{5'000};
         until_lost = until_lost + millis{500}) {
        for (std::uint64_t seed{1}; seed <= seeds; ++seed) {
            cr_expect_leq(longest_gap(seed, until_lost).count, missed_after.count,
                          "store lost after %ld ms, seed %lu", static_cast<long>(until_lost.count),
                          static_cast<unsigned long>(seed));
        }
    }
}
