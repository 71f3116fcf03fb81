/// \file
/// Runners that answer late, cut answers short, close connections, or leave.
#include <criterion/criterion.h>

#include "serving_cluster.h"

namespace pt = process_test;

Test(runner, truncated_answers_are_never_passed_off_as_whole)
{
    constexpr int half = 500;
    pt::serving_cluster s{"runner_truncated"};
    s.c.set_runner_fault("accra-east", "truncated", pt::milliseconds{0}, half);
    pt::check_outcomes(s.c, "t", false);
    const auto answered = pt::check_outcomes(s.c, "ti", true);
    cr_assert(answered > pt::request_count / 2, "%d answered", answered);
}

Test(runner, closed_connections_repeat_only_idempotent_requests)
{
    constexpr int half = 500;
    pt::serving_cluster s{"runner_reset"};
    s.c.set_runner_fault("accra-east", "reset", pt::milliseconds{0}, half);
    pt::check_outcomes(s.c, "c", false);
    const auto answered = pt::check_outcomes(s.c, "ci", true);
    cr_assert(answered > pt::request_count / 2, "%d answered", answered);
}

Test(runner, late_answer_is_not_given_to_the_next_request)
{
    pt::serving_cluster s{"runner_late"};
    s.c.set_runner_fault("accra-east", "late", pt::milliseconds{1'500});
    const pt::caller_request late{"desk", "late", "first", true, pt::milliseconds{600}};
    const auto first = s.c.send_request(0, late);
    cr_assert_neq(pt::code_of(first), 0);
    s.c.set_runner_fault("accra-east", "none");
    for (int i = 0; i < pt::request_count; ++i) {
        const pt::caller_request request{"desk", "next" + std::to_string(i), "second", true};
        cr_assert_eq(pt::body_of(s.c.send_request(0, request)), pt::echo_of(request));
    }
}

Test(runner, leaving_runner_gets_no_new_work_after_a_few_seconds)
{
    constexpr pt::milliseconds few_seconds{4'000};
    pt::serving_cluster s{"runner_leaving"};
    s.c.set_runner_phase("accra-east", 0, "leaving");
    int id = 0;
    const auto goes_to_the_other = [&] {
        const auto before = s.c.runs_on("accra-east", 0);
        for (int i = 0; i < pt::request_count; ++i) {
            const pt::caller_request request{"desk", "l" + std::to_string(++id), "quote", true};
            cr_assert_eq(pt::code_of(s.c.send_request(0, request)), 0);
        }
        return s.c.runs_on("accra-east", 0) == before;
    };
    cr_assert(pt::wait_until(goes_to_the_other, few_seconds));
    cr_assert(goes_to_the_other());
}
