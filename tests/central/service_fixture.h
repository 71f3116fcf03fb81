/// \file
/// A world in which services run on all runners.
#pragma once

#include <algorithm>
#include <cstdint>

#include <criterion/criterion.h>

#include "expectations.h"

namespace cuminmoor::central::test {

struct service_fixture {
    static constexpr std::size_t vms{5};
    static constexpr std::size_t runners{6};
    static constexpr std::uint64_t services{4};
    static constexpr std::uint32_t tasks_of_service{6};

    central_world w;

    /// \param run_time estimate of the services' run time; later jobs with a shorter one are more
    /// urgent.
    explicit service_fixture(std::uint64_t seed, millis run_time = {400})
        : w{{.seed = seed, .vms = vms, .runners = runners}}
    {
        w.run_for(warm_up);
        for (std::uint64_t n{1}; n <= services; ++n) {
            graph_job job = central_world::make_job(id_of(n), 1, tasks_of_service, run_time);
            job.steps[0].is_service = true;
            w.submit(n % 3, job);
        }
        w.run_for({1'000});
        cr_assert_eq(running_tasks(), tasks());
    }

    /// \return the number of all service tasks.
    static constexpr std::size_t tasks() { return services * tasks_of_service; }

    /// \return the number of service tasks that run on a runner.
    std::size_t services_on(std::size_t i)
    {
        const auto& running = w.runner(i).running;
        return static_cast<std::size_t>(
            std::count_if(running.begin(), running.end(),
                          [](const auto& each) { return each.second.behaviour.is_service; }));
    }

    /// \return the number of service tasks that run on runners that can be reached.
    std::size_t running_tasks()
    {
        std::size_t running{0};
        for (std::size_t i{0}; i < runners; ++i) {
            const bool is_gone = !w.runner(i).is_up || w.faults.unreachable_runners.contains(i);
            running += is_gone ? 0 : services_on(i);
        }
        return running;
    }

    /// \return the VM that schedules, which is the one of the newest term.
    std::size_t newest_scheduler()
    {
        std::size_t newest{0};
        term_number term;
        for (std::size_t i{0}; i < vms; ++i) {
            const lease_state& l = w.state_of(i).lease;
            if (w.is_up(i) && l.current_role == role::scheduler && l.term > term) {
                newest = i;
                term = l.term;
            }
        }
        cr_assert(term > term_number{}, "no VM schedules");
        return newest;
    }

    /// The runner is gone for good, without notice.
    void lose_runner(std::size_t i)
    {
        w.crash_runner_for_a_while(i);
        w.runner(i).is_up = false;
        w.set_listed(i, false);
    }
};

} // namespace cuminmoor::central::test
