/// \file
/// Results of orders to runners.
#pragma once

#include "central/context.h"

namespace cuminmoor::central {

void on_order_ended(const context& c, const runner_order_ended& e);

} // namespace cuminmoor::central
