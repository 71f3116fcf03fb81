/// \file
/// The baseline policies.
#include "cuminmoor/policy.h"

namespace cuminmoor {

std::optional<std::size_t>
first_fit_placement::choose(const job_spec& /*job*/, const resources& /*size*/,
                            const std::vector<placement_candidate>& /*candidates*/) const
{
    return 0;
}

policy_set make_first_fit_policies()
{
    return {std::make_unique<first_fit_placement>()};
}

} // namespace cuminmoor
