/// \file
/// Expected run times.
#include "central/placement/run_times.h"

#include <algorithm>

namespace cuminmoor::central {

millis expected_run_time(const central_state& /*s*/, const task_ref& ref)
{
    return std::max(millis{1}, ref.step->run_time);
}

} // namespace cuminmoor::central
