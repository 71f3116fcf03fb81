/// \file
/// Tests of the reducer's shutdown and of result codes.
#include <criterion/criterion.h>

#include "cuminmoor/reducer.h"
#include "cuminmoor/result.h"

namespace cm = cuminmoor;

Test(reducer, shutdown_completes_when_nothing_is_open)
{
    const auto policies = cm::make_first_fit_policies();
    const cm::reducer r{policies};
    cm::state s;
    (void)r.step(s, cm::shutdown_requested{}, cm::instant{1});
    const auto effects = r.step(s, cm::tick{}, cm::instant{2});
    bool complete = false;
    for (const auto& f : effects) {
        complete = complete || std::holds_alternative<cm::shutdown_complete>(f.body);
    }
    cr_assert(complete);
}

Test(result, codes_below_300_mean_that_nothing_ran)
{
    cr_assert(cm::is_certainly_not_run(cm::result_code::queue_full));
    cr_assert(!cm::is_certainly_not_run(cm::result_code::outcome_unknown));
    cr_assert_eq(cm::name_of(cm::result_code::queue_full), "queue_full");
}
