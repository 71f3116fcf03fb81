/// \file
/// A failure domain is taken out of service while its tasks run, and brought back.
#include <criterion/criterion.h>

#include <algorithm>

#include "process_harness.h"

namespace pt = process_test;

namespace {

constexpr unsigned task_count = 4;
/// "A few seconds": from the accepted change to the last start in that failure domain.
constexpr std::int64_t few_seconds_ms = 4'000;
const std::string leaving_domain = "accra-east";
const std::string other_domain = "kumasi-mkt";

pt::cluster_options two_domains(const std::string& name)
{
    return {.name = name, .failure_domains = {leaving_domain, other_domain}};
}

void take_out(const pt::cluster& c)
{
    const auto changed = c.change_configuration(
        0, {{"kind", "take_domain_out"}, {"failure_domain", leaving_domain}});
    cr_assert_eq(pt::code_of(changed), 0, "code %d", pt::code_of(changed));
}

std::int64_t starts_in(const std::vector<pt::start_record>& starts, const std::string& task,
                       const std::string& failure_domain)
{
    return std::count_if(starts.begin(), starts.end(), [&](const pt::start_record& start) {
        return start.task == task && start.failure_domain == failure_domain;
    });
}

bool has_progress(const pt::cluster& c)
{
    constexpr std::int64_t progress_ms = 500;
    const auto starts = c.starts();
    return std::all_of(starts.begin(), starts.end(), [](const pt::start_record& start) {
        return start.progress_ms >= progress_ms;
    });
}

/// Every task resumes once in the other failure domain, with the progress that it had made.
void check_moved_once(const std::vector<pt::start_record>& starts)
{
    for (unsigned i = 0; i < task_count; ++i) {
        const auto task = "render/" + std::to_string(i);
        cr_assert_eq(starts_in(starts, task, leaving_domain), 1, "%s", task.c_str());
        cr_assert_eq(starts_in(starts, task, other_domain), 1, "%s", task.c_str());
    }
    for (const auto& start : starts) {
        cr_assert(start.failure_domain == leaving_domain || start.resumed_at_ms > 0,
                  "%s began anew", start.task.c_str());
    }
}

} // namespace

Test(domain_out, running_tasks_resume_exactly_once_elsewhere)
{
    pt::cluster c{two_domains("domain_out")};
    cr_assert(c.create_service());
    cr_assert_eq(pt::code_of(c.submit_job(0, "render", task_count, "run 5000", leaving_domain)), 0);
    cr_assert(c.tasks_run(task_count));
    cr_assert(pt::wait_until([&c] { return has_progress(c); }));
    take_out(c);
    cr_assert(c.job_finishes(0, "render", task_count));
    const auto starts = c.starts();
    const auto faults = pt::faults_in_finished_job(starts, "render", task_count);
    cr_assert(faults.empty(), "%s", faults.c_str());
    check_moved_once(starts);
}

Test(domain_out, nothing_starts_there_after_a_few_seconds)
{
    // More tasks than fit at once, so that starts go on until the change is in force.
    constexpr unsigned many = 400;
    pt::cluster c{two_domains("domain_out_starts")};
    cr_assert(c.create_service());
    cr_assert_eq(pt::code_of(c.submit_job(0, "many", many, "run 300", leaving_domain)), 0);
    cr_assert(c.tasks_run(1));
    take_out(c);
    const auto out_ms = pt::clock_ms();
    cr_assert(c.job_finishes(0, "many", many));
    const auto starts = c.starts();
    for (const auto& start : starts) {
        cr_assert(start.failure_domain != leaving_domain ||
                      start.start_ms < out_ms + few_seconds_ms,
                  "%s started %ld ms after the change", start.task.c_str(),
                  static_cast<long>(start.start_ms - out_ms));
    }
    const auto faults = pt::faults_in_finished_job(starts, "many", many);
    cr_assert(faults.empty(), "%s", faults.c_str());
}

Test(domain_out, failure_domain_that_comes_back_runs_tasks_again)
{
    pt::cluster c{two_domains("domain_in")};
    cr_assert(c.create_service());
    take_out(c);
    const auto refused = c.submit_job(0, "early", 1, "run 100", leaving_domain);
    cr_assert_eq(pt::code_of(refused), 205, "code %d", pt::code_of(refused));
    const auto changed = c.change_configuration(
        1, {{"kind", "bring_domain_in"}, {"failure_domain", leaving_domain}});
    cr_assert_eq(pt::code_of(changed), 0, "code %d", pt::code_of(changed));
    cr_assert(pt::wait_until(
        [&c] { return pt::code_of(c.submit_job(0, "late", 2, "run 100", leaving_domain)) == 0; }));
    cr_assert(c.job_finishes(0, "late", 2));
    const auto starts = c.starts();
    cr_assert_eq(starts_in(starts, "late/0", leaving_domain), 1);
}
