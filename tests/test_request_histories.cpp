/// \file
/// Seeded simulations of the request path under faults. For each check, a test disables the
/// mechanism behind it and expects a violation.
#include <criterion/criterion.h>

#include "request_driver.h"

namespace ct = cuminmoor::test;

namespace {

void expect_no_violations(const ct::simulation_options& options)
{
    const auto result = ct::request_driver{options}.run();
    for (const auto& v : result.violations) {
        cr_log_error("seed %llu: %s", static_cast<unsigned long long>(options.seed), v.c_str());
    }
    cr_assert(result.violations.empty());
}

ct::fault_rates all_faults()
{
    return {.runner_refuses = 50,
            .not_sent = 30,
            .answer_lost = 50,
            .answer_late = 50,
            .store_unavailable = 50,
            .store_answer_lost = 80,
            .store_write_late = 50,
            .peer_message_lost = 50,
            .abandoned = 50,
            .vm_crash = 0,
            .vm_pause = 0};
}

bool finds_violation(ct::simulation_options options)
{
    for (options.seed = 1; options.seed <= 20; ++options.seed) {
        if (!ct::request_driver{options}.run().violations.empty()) {
            return true;
        }
    }
    return false;
}

} // namespace

Test(request_simulation, without_faults_every_request_is_answered_ok)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ct::simulation_options options;
        options.seed = seed;
        const auto result = ct::request_driver{options}.run();
        cr_assert(result.violations.empty());
        cr_assert_eq(result.answered_in_time, options.requests, "seed %llu: %zu",
                     static_cast<unsigned long long>(seed), result.answered_in_time);
        cr_assert_leq(result.max_in_flight, cuminmoor::config::slots_per_runner);
    }
}

Test(request_simulation, invariants_hold_under_all_faults)
{
    for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
        ct::simulation_options options;
        options.seed = seed;
        options.faults = all_faults();
        options.domain_out = seed % 4 == 0;
        options.runner_leaves = seed % 3 == 0;
        expect_no_violations(options);
    }
}

Test(request_simulation, invariants_hold_when_entry_vms_crash_and_pause)
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        ct::simulation_options options;
        options.seed = seed;
        options.faults = all_faults();
        options.faults.vm_crash = 20;
        options.faults.vm_pause = 20;
        expect_no_violations(options);
    }
}

Test(request_simulation, invariants_hold_under_overload)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        ct::simulation_options options;
        options.seed = seed;
        options.faults = all_faults();
        options.runners_per_domain = 2;
        options.service_ms = 200;
        options.mean_gap_us = 3'000;
        options.requests = 600;
        expect_no_violations(options);
    }
}

Test(request_simulation, idempotent_requests_meet_deadlines_with_hung_runner)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ct::simulation_options options;
        options.seed = seed;
        options.failure_domains = 1;
        options.requests = 1'000;
        options.non_idempotent_permille = 0;
        options.min_deadline_ms = 2'000;
        options.runner_hangs = true;
        const auto result = ct::request_driver{options}.run();
        cr_assert(result.violations.empty());
        cr_assert_eq(result.answered_in_time, options.requests, "%zu", result.answered_in_time);
    }
}

Test(request_simulation, leaving_runner_gets_no_dispatches_after_grace_period)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        ct::simulation_options options;
        options.seed = seed;
        options.requests = 1'000;
        options.runner_leaves = true;
        options.max_deadline_ms = 8'000;
        options.faults.peer_message_lost = 100;
        options.faults.vm_pause = seed % 2 == 0 ? 3 : 0;
        expect_no_violations(options);
    }
}

Test(request_simulation, checks_detect_store_that_ignores_preconditions)
{
    ct::simulation_options options;
    options.disabled.store_ignores_preconditions = true;
    cr_assert(finds_violation(options));
}

Test(request_simulation, checks_detect_lost_dispatch_reported_as_refused)
{
    ct::simulation_options options;
    options.faults.answer_lost = 200;
    options.disabled.lost_reported_as_refused = true;
    cr_assert(finds_violation(options));
}

Test(request_simulation, checks_detect_answer_to_wrong_dispatch)
{
    ct::simulation_options options;
    options.disabled.answers_given_to_wrong_dispatch = true;
    cr_assert(finds_violation(options));
}

Test(request_simulation, checks_detect_dispatch_to_leaving_runner)
{
    ct::simulation_options options;
    options.requests = 1'000;
    options.runner_leaves = true;
    options.disabled.leaving_not_listed = true;
    cr_assert(finds_violation(options));
}

Test(request_simulation, slot_limit_is_exceeded_when_entry_vms_are_unaware_of_each_other)
{
    ct::simulation_options options;
    options.failure_domains = 1;
    options.runners_per_domain = 2;
    options.service_ms = 400;
    options.requests = 600;
    const auto shared = ct::request_driver{options}.run();
    cr_assert_leq(shared.max_in_flight, cuminmoor::config::slots_per_runner);
    options.disabled.entry_vms_unaware_of_each_other = true;
    const auto unaware = ct::request_driver{options}.run();
    cr_assert_gt(unaware.max_in_flight, cuminmoor::config::slots_per_runner);
}
