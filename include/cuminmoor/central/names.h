/// \file
/// Names of enumerators in logs and metrics.
#pragma once

#include "cuminmoor/central/state.h"

namespace cuminmoor::central {

/// \return the name; empty for a value that is no enumerator.
const char* name_of(call_kind kind);
const char* name_of(call_result result);
const char* name_of(order_kind kind);
const char* name_of(order_result result);
const char* name_of(store_outcome outcome);
const char* name_of(role r);
const char* name_of(const event& e);

} // namespace cuminmoor::central
