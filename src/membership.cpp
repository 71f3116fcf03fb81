/// \file
/// membership part of the reducer.
#include "context.h"

namespace cuminmoor {

void handle_membership(context& /*c*/, const event& /*e*/) {}

} // namespace cuminmoor
