/// \file
/// requests part of the reducer.
#include "context.h"

namespace cuminmoor {

void handle_requests(context& /*c*/, const event& /*e*/) {}

} // namespace cuminmoor
