/// \file
/// Divides runner slots among the entry VMs of a failure domain.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cuminmoor/ids.h"
#include "cuminmoor/requests.h"

namespace cuminmoor {

/// Bit n stands for slot n of a runner.
using slot_mask = std::uint32_t;

/// Assigns slots by rendezvous hashing, with a quota per member proportional to its weight. Members
/// with the same inputs compute the same assignment: no slot has two owners, and each member gets
/// at least one slot if there are enough.
/// \param members sorted by id; `self` is one of them.
/// \return the slots of `self` by runner, without runners of which it owns none.
std::map<vm_id, slot_mask> share_slots(const std::vector<vm_id>& runners,
                                       const std::vector<slot_member>& members, const vm_id& self);

} // namespace cuminmoor
