/// \file
/// Rendezvous hashing of runner slots with a quota per member.
#include "cuminmoor/slot_shares.h"

#include <algorithm>
#include <numeric>

#include "cuminmoor/config.h"
#include "stable_hash.h"

namespace cuminmoor {

namespace {

/// Assigns the slots left by rounding to the members with the largest remainders.
void distribute_remainder(std::vector<std::uint64_t>& quotas,
                          const std::vector<std::uint64_t>& remainders, std::uint64_t left)
{
    std::vector<std::size_t> order(quotas.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&remainders](std::size_t a, std::size_t b) {
        return remainders[a] > remainders[b];
    });
    for (std::size_t i = 0; left > 0; ++i, --left) {
        ++quotas[order[i % order.size()]];
    }
}

/// Raises quotas of 0 to 1, taking each slot from the largest quota while that is above 1.
void ensure_minimum_quota(std::vector<std::uint64_t>& quotas)
{
    for (auto& quota : quotas) {
        const auto largest = std::max_element(quotas.begin(), quotas.end());
        if (quota == 0 && *largest > 1) {
            --*largest;
            quota = 1;
        }
    }
}

std::vector<std::uint64_t> compute_quotas(const std::vector<slot_member>& members,
                                          std::uint64_t slots)
{
    std::uint64_t total = 0;
    for (const auto& m : members) {
        total += m.weight;
    }
    total = std::max<std::uint64_t>(total, 1);
    std::vector<std::uint64_t> quotas;
    std::vector<std::uint64_t> remainders;
    std::uint64_t given = 0;
    for (const auto& m : members) {
        quotas.push_back(slots * m.weight / total);
        remainders.push_back(slots * m.weight % total);
        given += quotas.back();
    }
    distribute_remainder(quotas, remainders, slots - given);
    ensure_minimum_quota(quotas);
    return quotas;
}

std::size_t choose_owner(std::uint64_t slot_hash, const std::vector<std::uint64_t>& member_hashes,
                         const std::vector<std::uint64_t>& quotas)
{
    std::size_t best = 0;
    std::uint64_t best_score = 0;
    for (std::size_t i = 0; i < quotas.size(); ++i) {
        const std::uint64_t score = combine_hashes(slot_hash, member_hashes[i]);
        if (quotas[i] > 0 && score >= best_score) {
            best = i;
            best_score = score;
        }
    }
    return best;
}

} // namespace

std::map<vm_id, slot_mask> share_slots(const std::vector<vm_id>& runners,
                                       const std::vector<slot_member>& members, const vm_id& self)
{
    constexpr auto per_runner = static_cast<std::uint64_t>(config::slots_per_runner);
    auto quotas = compute_quotas(members, runners.size() * per_runner);
    std::vector<std::uint64_t> member_hashes;
    member_hashes.reserve(members.size());
    for (const auto& m : members) {
        member_hashes.push_back(stable_hash(m.id.value));
    }
    std::map<vm_id, slot_mask> owned;
    for (const auto& runner : runners) {
        const std::uint64_t runner_hash = stable_hash(runner.value);
        for (std::uint64_t slot = 0; slot < per_runner; ++slot) {
            const std::size_t owner =
                choose_owner(combine_hashes(runner_hash, slot), member_hashes, quotas);
            --quotas[owner];
            if (members[owner].id == self) {
                owned[runner] |= slot_mask{1} << slot;
            }
        }
    }
    return owned;
}

} // namespace cuminmoor
