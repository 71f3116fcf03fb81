/// \file
/// The whole path through real processes, without a fault.
#include <criterion/criterion.h>

#include "process_harness.h"

namespace pt = process_test;

Test(thin_path, request_reaches_a_runner_and_its_own_answer_comes_back)
{
    pt::cluster c{{.name = "thin_request"}};
    cr_assert(c.create_service());
    cr_assert(c.serves_requests(0));
    cr_assert(c.serves_requests(1));
    for (int i = 0; i < 20; ++i) {
        const auto id = "r" + std::to_string(i);
        const pt::caller_request request{"desk", id, "quote", i % 3 == 0};
        const auto result = c.send_request(i % 2, request);
        cr_assert_eq(pt::code_of(result), 0, "code %d", pt::code_of(result));
        cr_assert_eq(pt::body_of(result), pt::echo_of(request));
        cr_assert_eq(c.runs()["desk/" + id], 1);
    }
}

Test(thin_path, batch_task_is_committed_started_and_counted_once)
{
    pt::cluster c{{.name = "thin_batch"}};
    cr_assert(c.create_service());
    cr_assert_eq(pt::code_of(c.submit_job(0, "render", 4, "run 300")), 0);
    cr_assert(c.job_finishes(1, "render", 4));
    const auto faults = pt::faults_in_finished_job(c.starts(), "render", 4);
    cr_assert(faults.empty(), "%s", faults.c_str());
}

Test(thin_path, repeated_non_idempotent_request_runs_once)
{
    pt::cluster c{{.name = "thin_repeat"}};
    cr_assert(c.create_service());
    cr_assert(c.serves_requests(0));
    cr_assert(c.serves_requests(1));
    const pt::caller_request order{"hotel", "order-1", "40 screens"};
    const auto first = c.send_request(0, order);
    const auto again = c.send_request(1, order);
    cr_assert_eq(pt::code_of(first), 0);
    cr_assert_eq(pt::body_of(again), pt::body_of(first));
    cr_assert_eq(c.runs()["hotel/order-1"], 1);
}
