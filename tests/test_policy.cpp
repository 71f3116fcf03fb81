/// \file
/// Interference model and interference-aware placement.
#include <criterion/criterion.h>

#include "cuminmoor/config.h"
#include "cuminmoor/interference.h"
#include "cuminmoor/policy.h"

namespace cm = cuminmoor;

namespace {

cm::interference_model learned_model()
{
    cm::interference_model model;
    for (int i = 0; i < 200; ++i) {
        model.update("quotes", 5'000, {{"quiet", 8.0}});
        model.update("quotes", 10'000, {{"noisy", 8.0}});
    }
    return model;
}

std::vector<cm::placement_candidate> candidates_with(double first, double second)
{
    std::vector<cm::placement_candidate> candidates(2);
    candidates[0].predicted_latency_rise = first;
    candidates[1].predicted_latency_rise = second;
    return candidates;
}

} // namespace

Test(interference, attributes_latency_rise_to_batch_class)
{
    const auto model = learned_model();
    cr_assert_gt(model.latency_rise_per_core("quotes", "noisy"), 0.1);
    cr_assert_lt(model.latency_rise_per_core("quotes", "quiet"), 0.01);
    cr_assert_eq(model.latency_rise_per_core("other", "noisy"), 0.0);
}

Test(interference_aware_placement, chooses_lowest_predicted_rise)
{
    const cm::interference_aware_placement placement;
    const cm::job_spec job;
    const cm::placement_request request{job, cm::parameters_of(cm::preset::ordinary), true};
    cr_assert_eq(*placement.choose(request, candidates_with(1.0, 0.01)), 1U);
    cr_assert_eq(*placement.choose(request, candidates_with(0.02, 0.01)), 0U);
}

Test(interference_aware_placement, batch_waits_unless_class_has_no_running_task)
{
    const cm::interference_aware_placement placement;
    cm::job_spec job;
    const auto parameters = cm::parameters_of(cm::preset::ordinary);
    const auto high_rise = candidates_with(1.0, 1.0);
    cr_assert(!placement.choose({job, parameters, true}, high_rise).has_value());
    cr_assert(placement.choose({job, parameters, false}, high_rise).has_value());
    job.kind = cm::work_class::latency_critical;
    cr_assert(placement.choose({job, parameters, true}, high_rise).has_value());
}
