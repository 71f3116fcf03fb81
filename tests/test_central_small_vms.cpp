/// \file
/// Entry VMs with insufficient capacity beside larger ones: who wins the lease, and for how long.
#include <algorithm>
#include <cstdint>
#include <vector>

#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr vm_capacity large{500, 200'000};
constexpr vm_capacity small{69, 20'000};
constexpr std::size_t large_vms{3};
constexpr std::size_t vms{12};

/// The first `large_vms` VMs have sufficient capacity.
std::vector<vm_capacity> capacities()
{
    std::vector<vm_capacity> all(vms, small);
    std::fill_n(all.begin(), large_vms, large);
    return all;
}

struct fixture {
    central_world w;

    explicit fixture(std::uint64_t seed)
        : w{{.seed = seed, .vms = vms, .runners = 6, .capacities = capacities()}}
    {
        w.run_for(warm_up * 8);
        for (std::uint64_t n{1}; n <= 4; ++n) {
            graph_job job = central_world::make_job(id_of(n), 1, 4, {400});
            job.steps[0].is_service = true;
            w.submit(n % large_vms, job);
        }
        w.run_for({1'000});
    }

    [[nodiscard]] bool holds(std::size_t vm) const
    {
        const role r = w.state_of(vm).lease.current_role;
        return w.is_up(vm) && (r == role::loading || r == role::scheduler);
    }

    /// \return the VM with the lease of the newest term; `vms` if there is none.
    [[nodiscard]] std::size_t holder() const
    {
        std::size_t newest{vms};
        for (std::size_t vm{0}; vm < vms; ++vm) {
            const bool is_newer =
                newest == vms || w.state_of(vm).lease.term > w.state_of(newest).lease.term;
            newest = holds(vm) && is_newer ? vm : newest;
        }
        return newest;
    }

    /// Kills all VMs with sufficient capacity, for good.
    void kill_large_vms()
    {
        for (std::size_t vm{0}; vm < large_vms; ++vm) {
            w.kill(vm);
        }
    }

    /// \return the longest time for which a small VM held the lease during the next `time`.
    millis longest_small_hold(millis time)
    {
        constexpr millis step{10};
        millis longest;
        std::vector<millis> held(vms);
        for (const instant end = w.now() + time; w.now() < end;) {
            w.run_for(step);
            for (std::size_t vm{large_vms}; vm < vms; ++vm) {
                held[vm] = holds(vm) ? held[vm] + step : millis{0};
                longest = std::max(longest, held[vm]);
            }
        }
        return longest;
    }
};

/// How the store is away.
enum class absence : std::uint8_t {
    calls_are_silent,
    all_of_it,
    for_large_vms_last,
    slow,
};

void begin_absence(fixture& f, absence how)
{
    switch (how) {
    case absence::calls_are_silent:
        f.w.faults.store_calls_are_silent = true;
        break;
    case absence::all_of_it:
    case absence::for_large_vms_last:
        f.w.faults.store_is_down = true;
        break;
    case absence::slow:
        f.w.faults.page_time = {700};
        break;
    }
}

void end_absence(fixture& f, absence how)
{
    constexpr millis later{300};
    f.w.faults.store_calls_are_silent = false;
    if (how == absence::for_large_vms_last) {
        for (std::size_t vm{0}; vm < large_vms; ++vm) {
            f.w.faults.vms_without_store.insert(vm);
        }
        f.w.faults.store_is_down = false;
        f.w.run_for(later);
    }
    f.w.faults = {};
}

} // namespace

/// Guards against small VMs that win while larger ones wait for reads that they sent while the
/// store was silent (issue 58).
Test(central_small_vms, larger_vms_win_after_the_store_was_away)
{
    constexpr std::int64_t longest_ms{8'000};
    constexpr std::int64_t step_ms{250};
    std::uint64_t seed{0};
    for (const auto how : {absence::calls_are_silent, absence::all_of_it,
                           absence::for_large_vms_last, absence::slow}) {
        for (std::int64_t away_ms{3'000}; away_ms <= longest_ms; away_ms += step_ms) {
            fixture f{++seed};
            const std::size_t first = f.holder();
            begin_absence(f, how);
            f.w.kill(first);
            f.w.run_for({away_ms});
            end_absence(f, how);
            const millis held = f.longest_small_hold({6'000});
            cr_expect_eq(held.count, 0, "%ld ms, absence %d, away %ld ms", held.count,
                         static_cast<int>(how), away_ms);
            cr_expect_lt(f.holder(), large_vms, "no larger VM, absence %d, away %ld ms",
                         static_cast<int>(how), away_ms);
            expect_no_violation(f.w);
        }
    }
}

/// All VMs lose power while a small one holds the lease: its next process waits like all others.
/// Guards against one that claims at once, as nobody else can hold the lease (issue 58).
Test(central_small_vms, a_restarted_small_holder_does_not_win_again)
{
    for (std::uint64_t seed{1}; seed <= 20; ++seed) {
        fixture f{seed};
        f.kill_large_vms();
        f.w.run_for({12'000});
        const std::size_t first = f.holder();
        cr_assert_geq(first, large_vms);
        cr_assert_lt(first, vms);
        for (std::size_t vm{large_vms}; vm < vms; ++vm) {
            f.w.kill(vm);
        }
        f.w.run_for({700});
        for (std::size_t vm{0}; vm < vms; ++vm) {
            f.w.restart(vm);
        }
        const millis held = f.longest_small_hold({8'000});
        cr_expect_eq(held.count, 0, "%ld ms, seed %lu", held.count, seed);
        cr_expect_lt(f.holder(), large_vms, "seed %lu", seed);
        expect_no_violation(f.w);
    }
}

/// Without larger VMs, the small ones schedule.
Test(central_small_vms, a_small_vm_takes_over_when_all_larger_ones_are_gone)
{
    constexpr millis bound{8'000};
    for (std::uint64_t seed{1}; seed <= 20; ++seed) {
        fixture f{seed};
        f.kill_large_vms();
        f.w.run_for(bound);
        const std::size_t holder = f.holder();
        cr_assert(holder >= large_vms && holder < vms, "seed %lu", seed);
        f.w.run_for({12'000});
        cr_expect_eq(f.holder(), holder, "seed %lu", seed);
        expect_no_violation(f.w);
    }
}
