/// \file
/// Splits the slots of the runners among the entry VMs of a failure domain.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cuminmoor/ids.h"
#include "cuminmoor/requests.h"

namespace cuminmoor {

/// Bit n set: slot n of the runner.
using slot_mask = std::uint32_t;

/// Rendezvous hashing with a quota for each member in proportion to its weight. Members with the
/// same view compute the same split: no slot is given twice, and each member gets one when there
/// are enough.
/// \param members sorted by id; `self` is one of them.
/// \return the slots of `self` for each runner that it has any of.
std::map<vm_id, slot_mask> share_slots(const std::vector<vm_id>& runners,
                                       const std::vector<slot_member>& members, const vm_id& self);

} // namespace cuminmoor
