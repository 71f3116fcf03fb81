/// \file
/// The platform's store down for longer than every scheduler lease, slow, and losing answers.
#include <criterion/criterion.h>

#include <csignal>

#include "cuminmoor/config.h"
#include "process_harness.h"

namespace pt = process_test;

namespace {

constexpr unsigned task_count = 4;
/// Longer than the lease, its margin and a whole take-over.
constexpr pt::milliseconds outage{cuminmoor::config::lease_length.count * 2 + 1'000};

/// Sends idempotent requests one after the other until the time has passed.
/// \return number of requests that were not answered.
int unanswered_during(const pt::cluster& c, pt::milliseconds length)
{
    const auto end = pt::clock_ms() + length.count();
    int unanswered = 0;
    for (int i = 0; pt::clock_ms() < end; ++i) {
        const pt::caller_request request{"desk", "out-" + std::to_string(i), "quote", true};
        const auto result = c.send_request(i % 2, request);
        unanswered += pt::body_of(result) == pt::echo_of(request) ? 0 : 1;
    }
    return unanswered;
}

/// \param begin,end switch the outage on and off.
void check_outage(pt::cluster& c, const std::function<void()>& begin,
                  const std::function<void()>& end)
{
    cr_assert(c.create_service());
    cr_assert(c.serves_requests(0));
    cr_assert(c.serves_requests(1));
    cr_assert_eq(pt::code_of(c.submit_job(0, "render", task_count, "run 9000")), 0);
    cr_assert(c.tasks_run(task_count));
    begin();
    const auto unanswered = unanswered_during(c, outage);
    end();
    cr_assert_eq(unanswered, 0, "%d requests unanswered during the outage", unanswered);
    cr_assert(c.job_finishes(0, "render", task_count));
    const auto starts = c.starts();
    const auto faults = pt::faults_in_finished_job(starts, "render", task_count);
    cr_assert(faults.empty(), "%s", faults.c_str());
    cr_assert_eq(starts.size(), task_count, "%zu starts: the outage evicted a task", starts.size());
    // Scheduling goes on after the outage.
    cr_assert_eq(pt::code_of(c.submit_job(1, "after", 2, "run 100")), 0);
    cr_assert(c.job_finishes(0, "after", 2));
}

} // namespace

Test(store, down_longer_than_the_lease_evicts_nothing_and_requests_go_on)
{
    pt::cluster c{{.name = "store_down"}};
    check_outage(
        c, [&c] { c.set_platform_fault("down"); }, [&c] { c.set_platform_fault("none"); });
}

Test(store, frozen_longer_than_the_lease_evicts_nothing_and_requests_go_on)
{
    pt::cluster c{{.name = "store_frozen"}};
    check_outage(
        c, [&c] { c.platform().send_signal(SIGSTOP); },
        [&c] { c.platform().send_signal(SIGCONT); });
}

Test(store, non_idempotent_request_is_refused_as_not_run_while_the_store_is_down)
{
    pt::cluster c{{.name = "store_down_claim"}};
    cr_assert(c.create_service());
    cr_assert(c.serves_requests(0));
    c.set_platform_fault("down");
    const pt::caller_request order{"hotel", "order-1", "40 screens", false,
                                   pt::milliseconds{3'000}};
    const auto refused = c.send_request(0, order);
    const auto code = pt::code_of(refused);
    cr_assert(code >= 200 && code < 300, "code %d", code);
    cr_assert_eq(c.runs()["hotel/order-1"], 0);
    c.set_platform_fault("none");
    // The store is found again after a back-off; until then the order stays refused.
    cr_assert(pt::wait_until([&] { return pt::code_of(c.send_request(1, order)) == 0; }));
    cr_assert_eq(c.runs()["hotel/order-1"], 1);
}

Test(store, lost_answers_neither_repeat_requests_nor_tasks)
{
    constexpr int permille_lost = 200;
    constexpr int orders = 30;
    pt::cluster c{{.name = "store_lost"}};
    cr_assert(c.create_service());
    cr_assert(c.serves_requests(0));
    cr_assert(c.serves_requests(1));
    c.set_platform_fault("lose_answers", pt::milliseconds{0}, permille_lost);
    const auto submitted = pt::code_of(c.submit_job(0, "render", task_count, "run 300"));
    cr_assert_eq(submitted, 0, "code %d", submitted);
    for (int i = 0; i < orders; ++i) {
        const pt::caller_request order{"hotel", "o" + std::to_string(i), "screens"};
        const auto result = c.send_request(i % 2, order);
        const auto code = pt::code_of(result);
        const auto runs = c.runs()["hotel/" + order.id];
        cr_assert(runs <= 1, "%s ran %ld times", order.id.c_str(), static_cast<long>(runs));
        cr_assert(code != 0 || (runs == 1 && pt::body_of(result) == pt::echo_of(order)));
        cr_assert(code < 200 || code >= 300 || runs == 0, "code %d, but it ran", code);
    }
    cr_assert(c.job_finishes(1, "render", task_count));
    const auto starts = c.starts();
    const auto faults = pt::faults_in_finished_job(starts, "render", task_count);
    cr_assert(faults.empty(), "%s", faults.c_str());
    cr_assert_eq(starts.size(), task_count);
}

Test(store, slow_store_loses_no_task)
{
    constexpr pt::milliseconds delay{700};
    pt::cluster c{{.name = "store_slow"}};
    cr_assert(c.create_service());
    c.set_platform_fault("slow", delay);
    cr_assert_eq(pt::code_of(c.submit_job(0, "render", task_count, "run 300")), 0);
    cr_assert(c.job_finishes(0, "render", task_count));
    const auto faults = pt::faults_in_finished_job(c.starts(), "render", task_count);
    cr_assert(faults.empty(), "%s", faults.c_str());
}
