/// \file
/// commands part of the reducer.
#include "context.h"

namespace cuminmoor {

void handle_commands(context& /*c*/, const event& /*e*/) {}

} // namespace cuminmoor
