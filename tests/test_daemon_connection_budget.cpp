/// \file
/// Decisions of the budget of connections, without a network.
#include <criterion/criterion.h>

#include "connection_budget.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;
using io::listener;

namespace {

constexpr std::size_t mib{std::size_t{1} << 20U};
constexpr cm::instant start{1'000};
constexpr cm::instant later{61'000};
/// The callers' share of it is 8 MiB.
constexpr io::budget_limits small_limits{16 * mib, 100};

} // namespace

Test(connection_budget, is_a_part_of_the_machine)
{
    const io::budget_limits limits = io::derive_limits(160 * mib, 4'100);
    cr_assert_eq(limits.max_bytes, 40 * mib);
    cr_assert_eq(limits.max_connections, 2'000);
}

Test(connection_budget, largest_request_of_callers_fits_often_into_the_smallest_machine)
{
    constexpr std::size_t legal_request{262'144 + 16'384};
    io::connection_budget budget{io::derive_limits(160 * mib, 4'100)};
    for (int i{0}; i < 60; ++i) {
        budget.set_held(budget.add(listener::callers, start), legal_request);
    }
    cr_assert(!budget.is_overspent(listener::callers));
}

Test(connection_budget, most_for_longest_without_progress_goes_first)
{
    io::connection_budget budget{small_limits};
    const auto small_and_old = budget.add(listener::callers, start);
    budget.set_held(small_and_old, 10'000);
    const auto large_and_old = budget.add(listener::callers, start);
    budget.set_held(large_and_old, 200'000);
    const auto large_and_active = budget.add(listener::callers, start);
    budget.set_held(large_and_active, 250'000);
    budget.record_progress(large_and_active, later);
    cr_assert_eq(*budget.first_to_close(listener::callers, later), large_and_old);
    budget.remove(large_and_old);
    cr_assert_eq(*budget.first_to_close(listener::callers, later), small_and_old);
    budget.remove(small_and_old);
    cr_assert_eq(*budget.first_to_close(listener::callers, later), large_and_active);
}

Test(connection_budget, who_awaits_an_answer_is_not_closed)
{
    io::connection_budget budget{small_limits};
    const auto waiting = budget.add(listener::callers, start);
    budget.set_awaits_answer(waiting, true);
    cr_assert(!budget.first_to_close(listener::callers, later));
    budget.set_awaits_answer(waiting, false);
    cr_assert_eq(*budget.first_to_close(listener::callers, later), waiting);
}

Test(connection_budget, own_vms_go_last)
{
    io::connection_budget budget{small_limits};
    const auto own = budget.add(listener::peers, start);
    budget.set_held(own, 500'000);
    budget.trust(own);
    const auto other = budget.add(listener::peers, later);
    cr_assert_eq(*budget.first_to_close(listener::peers, later), other);
}

/// A crowd at one address leaves the others their memory and places.
Test(connection_budget, listeners_have_shares_of_their_own)
{
    io::connection_budget budget{small_limits};
    for (int i{0}; i < 50; ++i) {
        budget.set_held(budget.add(listener::callers, start), mib);
    }
    cr_assert(budget.is_overspent(listener::callers));
    cr_assert(!budget.has_place(listener::callers));
    for (const listener at : {listener::peers, listener::readiness}) {
        cr_assert(!budget.is_overspent(at));
        cr_assert(budget.has_place(at));
        cr_assert(!budget.first_to_close(at, later));
    }
}

/// Clients that hand in jobs and leave must not let the calls pile up.
Test(connection_budget, call_counts_until_it_is_answered)
{
    io::connection_budget budget{small_limits};
    const auto gone = budget.add(listener::callers, start);
    auto call = budget.hold_call(listener::callers, 9 * mib);
    budget.remove(gone);
    cr_assert(budget.is_overspent(listener::callers));
    call.reset();
    cr_assert_eq(budget.held_bytes(), 0);
}
