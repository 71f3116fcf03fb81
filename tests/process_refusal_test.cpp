/// \file
/// Runners that refuse requests.
#include <criterion/criterion.h>

#include "serving_cluster.h"

namespace pt = process_test;

Test(runner, refusals_are_retried_and_reported_as_not_run)
{
    pt::serving_cluster s{"runner_refuse"};
    s.c.set_runner_fault("accra-east", "refuse", pt::milliseconds{0}, 300);
    const auto answered = pt::check_outcomes(s.c, "r", false);
    cr_assert(answered > pt::request_count / 2, "%d answered", answered);
    s.c.set_runner_fault("accra-east", "refuse");
    for (int i = 0; i < 3; ++i) {
        const pt::caller_request request{"desk", "never" + std::to_string(i), "quote", false,
                                         pt::milliseconds{1'000}};
        const auto code = pt::code_of(s.c.send_request(0, request));
        cr_assert(pt::says_not_run(code), "code %d", code);
    }
}
