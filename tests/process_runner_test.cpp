/// \file
/// Runners that refuse, answer late, cut answers short, close connections, or leave.
#include <criterion/criterion.h>

#include "cuminmoor/result.h"
#include "process_harness.h"

namespace pt = process_test;

namespace {

constexpr int request_count = 20;

/// A cluster that serves requests through its first entry VM.
struct serving_cluster {
    pt::cluster c;

    explicit serving_cluster(const std::string& name) : c{{.name = name}}
    {
        cr_assert(c.create_service());
        cr_assert(c.serves_requests(0));
    }
};

bool says_not_run(int code)
{
    return code >= 100 &&
           cuminmoor::is_certainly_not_run(static_cast<cuminmoor::result_code>(code));
}

/// Sends requests while the fault is in force and checks that every outcome is true.
/// \return number that were answered.
int check_outcomes(pt::cluster& c, const std::string& fault, bool idempotent)
{
    int answered = 0;
    for (int i = 0; i < request_count; ++i) {
        const pt::caller_request request{"desk", fault + std::to_string(i), "quote", idempotent,
                                         pt::milliseconds{2'000}};
        const auto result = c.send_request(0, request);
        const auto code = pt::code_of(result);
        const auto runs = c.runs()["desk/" + request.id];
        cr_assert(code >= 0, "no whole answer from the entry VM");
        cr_assert(code != 0 || pt::body_of(result) == pt::echo_of(request), "not its own answer");
        cr_assert(!says_not_run(code) || runs == 0, "code %d, but it ran", code);
        cr_assert(idempotent || runs <= 1, "%s ran %ld times", request.id.c_str(),
                  static_cast<long>(runs));
        answered += code == 0 ? 1 : 0;
    }
    return answered;
}

} // namespace

Test(runner, truncated_answers_are_never_passed_off_as_whole)
{
    constexpr int half = 500;
    serving_cluster s{"runner_truncated"};
    s.c.set_runner_fault("accra-east", "truncated", pt::milliseconds{0}, half);
    check_outcomes(s.c, "t", false);
    const auto answered = check_outcomes(s.c, "ti", true);
    cr_assert(answered > request_count / 2, "%d answered", answered);
}

Test(runner, closed_connections_repeat_only_idempotent_requests)
{
    constexpr int half = 500;
    serving_cluster s{"runner_reset"};
    s.c.set_runner_fault("accra-east", "reset", pt::milliseconds{0}, half);
    check_outcomes(s.c, "c", false);
    const auto answered = check_outcomes(s.c, "ci", true);
    cr_assert(answered > request_count / 2, "%d answered", answered);
}

Test(runner, refusals_are_retried_and_reported_as_not_run)
{
    serving_cluster s{"runner_refuse"};
    s.c.set_runner_fault("accra-east", "refuse", pt::milliseconds{0}, 300);
    const auto answered = check_outcomes(s.c, "r", false);
    cr_assert(answered > request_count / 2, "%d answered", answered);
    s.c.set_runner_fault("accra-east", "refuse");
    for (int i = 0; i < 3; ++i) {
        const pt::caller_request request{"desk", "never" + std::to_string(i), "quote", false,
                                         pt::milliseconds{1'000}};
        const auto code = pt::code_of(s.c.send_request(0, request));
        cr_assert(says_not_run(code), "code %d", code);
    }
}

Test(runner, late_answer_is_not_given_to_the_next_request)
{
    serving_cluster s{"runner_late"};
    s.c.set_runner_fault("accra-east", "late", pt::milliseconds{1'500});
    const pt::caller_request late{"desk", "late", "first", true, pt::milliseconds{600}};
    const auto first = s.c.send_request(0, late);
    cr_assert_neq(pt::code_of(first), 0);
    s.c.set_runner_fault("accra-east", "none");
    for (int i = 0; i < request_count; ++i) {
        const pt::caller_request request{"desk", "next" + std::to_string(i), "second", true};
        cr_assert_eq(pt::body_of(s.c.send_request(0, request)), pt::echo_of(request));
    }
}

Test(runner, leaving_runner_gets_no_new_work_after_a_few_seconds)
{
    constexpr pt::milliseconds few_seconds{4'000};
    serving_cluster s{"runner_leaving"};
    s.c.set_runner_phase("accra-east", 0, "leaving");
    int id = 0;
    const auto goes_to_the_other = [&] {
        const auto before = s.c.runs_on("accra-east", 0);
        for (int i = 0; i < request_count; ++i) {
            const pt::caller_request request{"desk", "l" + std::to_string(++id), "quote", true};
            cr_assert_eq(pt::code_of(s.c.send_request(0, request)), 0);
        }
        return s.c.runs_on("accra-east", 0) == before;
    };
    cr_assert(pt::wait_until(goes_to_the_other, few_seconds));
    cr_assert(goes_to_the_other());
}
