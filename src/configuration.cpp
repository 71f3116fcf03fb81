/// \file
/// configuration part of the reducer.
#include "context.h"

namespace cuminmoor {

void handle_configuration(context& /*c*/, const event& /*e*/) {}

} // namespace cuminmoor
