/// \file
/// Assignment of runner slots to entry VMs.
#include <algorithm>
#include <bit>
#include <criterion/criterion.h>

#include "cuminmoor/slot_shares.h"

namespace cm = cuminmoor;

namespace {

std::vector<cm::vm_id> make_runners(int count)
{
    std::vector<cm::vm_id> runners;
    runners.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        runners.push_back({"runner-" + std::to_string(n)});
    }
    return runners;
}

std::vector<cm::slot_member> make_members(int count)
{
    std::vector<cm::slot_member> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n) {
        members.push_back({{"entry-" + std::to_string(n)}, 16});
    }
    return members;
}

int count_slots(const std::map<cm::vm_id, cm::slot_mask>& owned)
{
    int slots = 0;
    for (const auto& [runner, mask] : owned) {
        slots += std::popcount(mask);
    }
    return slots;
}

} // namespace

Test(slot_shares, every_slot_has_exactly_one_owner)
{
    const auto runners = make_runners(48);
    const auto members = make_members(7);
    std::map<cm::vm_id, cm::slot_mask> taken;
    for (const auto& m : members) {
        for (const auto& [runner, mask] : cm::share_slots(runners, members, m.id)) {
            cr_assert_eq(taken[runner] & mask, 0U);
            taken[runner] |= mask;
        }
    }
    cr_assert_eq(count_slots(taken), 48 * 8);
}

Test(slot_shares, shares_are_proportional_to_weights)
{
    const auto runners = make_runners(48);
    auto members = make_members(4);
    members[2].weight = 48;
    cr_assert_eq(count_slots(cm::share_slots(runners, members, members[2].id)), 192);
    cr_assert_eq(count_slots(cm::share_slots(runners, members, members[0].id)), 64);
}

Test(slot_shares, each_member_gets_a_slot_when_there_are_enough)
{
    auto members = make_members(8);
    members[0].weight = 10'000;
    for (const auto& m : members) {
        cr_assert_geq(count_slots(cm::share_slots(make_runners(1), members, m.id)), 1);
    }
}

Test(slot_shares, member_removal_moves_few_slots)
{
    const auto runners = make_runners(48);
    const auto before = make_members(8);
    auto after = before;
    after.pop_back();
    int kept = 0;
    int had = 0;
    for (const auto& m : after) {
        const auto old_share = cm::share_slots(runners, before, m.id);
        auto new_share = cm::share_slots(runners, after, m.id);
        had += count_slots(old_share);
        for (const auto& [runner, mask] : old_share) {
            kept += std::popcount(mask & new_share[runner]);
        }
    }
    cr_assert_geq(kept * 10, had * 8, "kept %d of %d", kept, had);
}
