/// \file
/// Loading of the jobs after the lease was won.
#pragma once

#include "central/context.h"

namespace cuminmoor::central {

void begin_loading(const context& c);
void on_rows_read(const context& c, const rows_read_done& e);
void check_loading(const context& c);

} // namespace cuminmoor::central
