/// \file
/// Placement policies, and the policy parameters of the presets.
#include "cuminmoor/policy.h"

#include "cuminmoor/config.h"

namespace cuminmoor {

std::optional<std::size_t>
first_fit_placement::choose(const placement_request& /*question*/,
                            const std::vector<placement_candidate>& /*candidates*/) const
{
    return 0;
}

std::optional<std::size_t>
interference_aware_placement::choose(const placement_request& request,
                                     const std::vector<placement_candidate>& candidates) const
{
    std::size_t best = 0;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        if (candidates[i].predicted_latency_rise <
            candidates[best].predicted_latency_rise - config::rise_hysteresis) {
            best = i;
        }
    }
    const bool may_wait = request.job.kind == work_class::batch && request.is_class_running;
    if (may_wait && candidates[best].predicted_latency_rise > request.parameters.max_latency_rise) {
        return std::nullopt;
    }
    return best;
}

policy_parameters parameters_of(preset p)
{
    switch (p) {
    case preset::peak:
        return {config::peak_max_rise};
    case preset::maintenance:
        return {config::maintenance_max_rise};
    case preset::ordinary:
        break;
    }
    return {config::ordinary_max_rise};
}

policy_set make_policies()
{
    return {std::make_unique<interference_aware_placement>(), true};
}

policy_set make_first_fit_policies()
{
    return {std::make_unique<first_fit_placement>(), false};
}

} // namespace cuminmoor
