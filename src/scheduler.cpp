/// \file
/// scheduler part of the reducer.
#include "context.h"

namespace cuminmoor {

void handle_scheduler(context& /*c*/, const event& /*e*/) {}

} // namespace cuminmoor
