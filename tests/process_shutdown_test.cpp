/// \file
/// Planned stops of entry VMs.
#include <criterion/criterion.h>

#include <csignal>
#include <future>

#include "cuminmoor/config.h"
#include "process_harness.h"

namespace pt = process_test;

namespace {

constexpr pt::milliseconds stop_limit{15'000};

} // namespace

Test(graceful_shutdown, cuts_off_no_request_in_flight)
{
    constexpr int in_flight = 8;
    pt::cluster c{{.name = "stop_requests", .service_time = pt::milliseconds{800}}};
    cr_assert(c.create_service());
    cr_assert(c.serves_requests(0));
    std::vector<std::future<pt::http_result>> answers;
    for (int i = 0; i < in_flight; ++i) {
        const pt::caller_request request{"desk", "r" + std::to_string(i), "quote", i % 2 == 0};
        answers.push_back(
            std::async(std::launch::async, [&c, request] { return c.send_request(0, request); }));
    }
    const auto is_running = [&c] {
        int count = 0;
        for (const auto& [key, runs] : c.runs()) {
            count += key.starts_with("desk/") ? 1 : 0;
        }
        return count == in_flight;
    };
    const bool all_running = pt::wait_until(is_running, pt::milliseconds{5'000});
    c.entry(0).process.send_signal(SIGTERM);
    int answered = 0;
    for (int i = 0; i < in_flight; ++i) {
        const auto result = answers[static_cast<std::size_t>(i)].get();
        answered +=
            pt::body_of(result) == pt::echo_of({"desk", "r" + std::to_string(i), "quote"}) ? 1 : 0;
    }
    cr_assert(all_running, "not every request was running before the stop");
    cr_assert_eq(answered, in_flight, "%d of %d answered", answered, in_flight);
    const auto code = c.entry(0).process.wait_for_exit(stop_limit);
    cr_assert(code.has_value(), "still running");
    cr_assert_eq(*code, 0, "exit code %d", *code);
}

Test(graceful_shutdown, hands_the_scheduler_lease_over_before_it_would_lapse)
{
    pt::cluster c{{.name = "stop_scheduler"}};
    cr_assert(c.create_service());
    cr_assert_eq(pt::code_of(c.submit_job(0, "render", 2, "run 2000")), 0);
    cr_assert(c.tasks_run(2));
    const auto holder = c.scheduler_of("accra-east");
    cr_assert(holder.has_value());
    c.entry(*holder).process.send_signal(SIGTERM);
    cr_assert_eq(c.entry(*holder).process.wait_for_exit(stop_limit).value_or(-1), 0);
    const auto stopped_ms = pt::clock_ms();
    cr_assert(pt::wait_until([&] {
        const auto now = c.scheduler_of("accra-east");
        return now && *now != *holder;
    }));
    const auto gap_ms = pt::clock_ms() - stopped_ms;
    cr_assert(gap_ms < cuminmoor::config::lease_length.count, "%ld ms without a scheduler",
              static_cast<long>(gap_ms));
    const auto other = 1 - *holder;
    cr_assert(c.job_finishes(other, "render", 2));
    const auto faults = pt::faults_in_finished_job(c.starts(), "render", 2);
    cr_assert(faults.empty(), "%s", faults.c_str());
}

Test(graceful_shutdown, of_an_idle_entry_vm_ends_with_0_while_the_store_is_down)
{
    pt::cluster c{{.name = "stop_store_down"}};
    cr_assert(c.create_service());
    c.set_platform_fault("down");
    c.entry(0).process.send_signal(SIGTERM);
    c.entry(1).process.send_signal(SIGTERM);
    cr_assert_eq(c.entry(0).process.wait_for_exit(stop_limit).value_or(-1), 0);
    cr_assert_eq(c.entry(1).process.wait_for_exit(stop_limit).value_or(-1), 0);
}
