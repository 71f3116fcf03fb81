/// \file
/// Entry VMs that die, freeze, or are all replaced at once while tasks run.
#include <criterion/criterion.h>

#include <csignal>

#include "process_harness.h"

namespace pt = process_test;

namespace {

constexpr unsigned task_count = 6;

/// A cluster whose tasks run; `holder` has the scheduler lease.
struct running_cluster {
    pt::cluster c;
    std::size_t holder{0};
    std::size_t other{0};

    explicit running_cluster(const std::string& name)
        : c{{.name = name, .entries_per_domain = 3, .workers_per_domain = 3}}
    {
        cr_assert(c.create_service());
        cr_assert_eq(pt::code_of(c.submit_job(0, "render", task_count, "run 4000")), 0);
        cr_assert(c.tasks_run(task_count));
        const auto found = c.scheduler_of("accra-east");
        cr_assert(found.has_value());
        holder = *found;
        other = (holder + 1) % c.entries().size();
    }

    [[nodiscard]] bool has_other_scheduler() const
    {
        return pt::wait_until([this] {
            const auto now = c.scheduler_of("accra-east");
            return now && *now != holder;
        });
    }
};

void check_finished_in_place(const pt::cluster& c)
{
    const auto starts = c.starts();
    const auto faults = pt::faults_in_finished_job(starts, "render", task_count);
    cr_assert(faults.empty(), "%s", faults.c_str());
    cr_assert_eq(starts.size(), task_count, "%zu starts: a running task was moved", starts.size());
}

} // namespace

Test(entry_vm, killed_scheduler_is_replaced_and_tasks_finish_once)
{
    running_cluster r{"entry_killed"};
    r.c.entry(r.holder).process.send_signal(SIGKILL);
    r.c.unlist(r.c.entry(r.holder).name);
    cr_assert(r.has_other_scheduler());
    cr_assert(r.c.job_finishes(r.other, "render", task_count));
    check_finished_in_place(r.c);
}

Test(entry_vm, scheduler_frozen_longer_than_its_lease_does_no_harm)
{
    running_cluster r{"entry_frozen"};
    // Work that is under way when the process freezes.
    cr_assert_eq(pt::code_of(r.c.submit_job(r.other, "cut", task_count, "run 500")), 0);
    r.c.entry(r.holder).process.send_signal(SIGSTOP);
    cr_assert(r.has_other_scheduler());
    r.c.entry(r.holder).process.send_signal(SIGCONT);
    cr_assert(r.c.job_finishes(r.other, "render", task_count));
    cr_assert(r.c.job_finishes(r.other, "cut", task_count));
    const auto starts = r.c.starts();
    const auto faults = pt::faults_in_finished_job(starts, "render", task_count) +
                        pt::faults_in_finished_job(starts, "cut", task_count);
    cr_assert(faults.empty(), "%s", faults.c_str());
    // The frozen one serves again.
    cr_assert(r.c.serves_requests(r.holder));
}

Test(entry_vm, all_replaced_at_once_keep_tasks_and_configuration)
{
    running_cluster r{"entry_all_replaced"};
    cr_assert_eq(
        pt::code_of(r.c.change_configuration(0, {{"kind", "use_preset"}, {"preset", "peak"}})), 0);
    for (auto& vm : r.c.entries()) {
        vm.process.send_signal(SIGKILL);
        r.c.unlist(vm.name);
    }
    const auto fresh = r.c.add_entry("accra-east");
    r.c.add_entry("accra-east");
    cr_assert(r.c.serves_requests(fresh));
    cr_assert(r.c.job_finishes(fresh, "render", task_count));
    check_finished_in_place(r.c);
    const auto shown = pt::get(r.c.entry(fresh).http, "/v1/configuration");
    const auto configuration = standin::parse_json(pt::body_of(shown));
    cr_assert_eq(standin::text_at(configuration, "preset"), "peak");
}
