/// \file
/// Services whose runner crashes again and again while the scheduling VM is stopped or lost, and
/// services that crash their runners under several holders of the lease.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

/// Users' limit: two starts after the third crash.
constexpr std::uint32_t max_crashes{5};
/// Users miss a service task that has had no run for this long, and no fault for `calm_time`.
constexpr millis missed_after{9'000};
constexpr millis calm_time{7'000};
/// Between two looks at the service.
constexpr millis look{10};
/// From a planned stop until the VM is back.
constexpr millis stop_time{6'000};
constexpr const char* only_label{"only"};
const graph_task_id task{{id_of(1)}, 0, 0, 0};

/// How the scheduling VM ends.
enum class vm_end : std::uint8_t { planned_stop, kill };

/// Tasks of the service that any runner may take, and all that are not at fault.
constexpr std::uint32_t unlabelled_tasks{20};
constexpr std::size_t sound_tasks{unlabelled_tasks + 1};

/// A service that one runner may take, among services that any may take.
struct crash_loop {
    central_world w;

    explicit crash_loop(std::uint64_t seed) : w{{.seed = seed, .vms = 5, .runners = 10}}
    {
        w.runner(0).entry.labels.emplace_back(only_label);
        w.run_for(warm_up);
        submit_service(1, 1, only_label);
        cr_assert(runs_within(warm_up));
        submit_service(2, unlabelled_tasks, "");
    }

    void submit_service(std::uint64_t job_number, std::uint32_t tasks, const std::string& label)
    {
        graph_job job = central_world::make_job(id_of(job_number), 1, tasks, {400});
        job.steps[0].is_service = true;
        job.steps[0].required_label = label;
        w.submit(0, job);
    }

    bool is_running()
    {
        return !w.faults.unreachable_runners.contains(0) && w.runner(0).running.contains(task);
    }

    /// \return the number of service tasks that run.
    std::size_t running_services()
    {
        std::size_t count{0};
        for (std::size_t i{0}; i < w.runners(); ++i) {
            count += w.faults.unreachable_runners.contains(i) ? 0 : w.runner(i).running.size();
        }
        return count;
    }

    void end_scheduler(vm_end how)
    {
        const auto vm = w.scheduler();
        if (!vm) {
            return;
        }
        if (how == vm_end::kill) {
            w.kill(*vm);
            w.restart(*vm);
            return;
        }
        w.stop_gracefully(*vm);
        later(stop_time, [this, vm = *vm] { w.restart(vm); });
    }

    void run_for(millis time)
    {
        const instant end = w.now() + time;
        while (w.now() < end) {
            w.run_for(look);
            while (!due_.empty() && due_.begin()->first <= w.now()) {
                due_.extract(due_.begin()).mapped()();
            }
        }
    }

    /// \return whether the service runs within `limit`.
    bool runs_within(millis limit)
    {
        const instant end = w.now() + limit;
        while (!is_running() && w.now() < end) {
            run_for(look);
        }
        return is_running();
    }

    void crash_runner(millis down)
    {
        w.crash_runner(0);
        w.runner(0).is_up = false;
        w.faults.unreachable_runners.insert(0);
        later(down, [this] {
            w.runner(0).is_up = true;
            w.faults.unreachable_runners.erase(0);
        });
    }

private:
    void later(millis delay, std::function<void()> what)
    {
        due_.emplace(w.now() + delay, std::move(what));
    }

    std::multimap<instant, std::function<void()>> due_;
};

/// \return the time after a crash in which users expect the service to run again.
millis restart_limit(millis down)
{
    return std::max(missed_after, down + calm_time);
}

struct loop_case {
    int crashes{0};
    /// Bit `n`: the scheduling VM ends with crash `n`.
    unsigned ends_with{0};
    vm_end how{vm_end::planned_stop};
    /// From a start to the next crash.
    millis work;
    /// From a crash until the runner is back.
    millis down;
};

void check_crash_loop(const loop_case& loop)
{
    crash_loop l{static_cast<std::uint64_t>(loop.crashes) + loop.ends_with};
    for (int i{0}; i < loop.crashes; ++i) {
        l.run_for(loop.work);
        l.crash_runner(loop.down);
        if ((loop.ends_with >> static_cast<unsigned>(i) & 1U) != 0) {
            l.end_scheduler(loop.how);
        }
        const bool runs = l.runs_within(restart_limit(loop.down));
        cr_expect(runs, "no run after crash %d of %d, %s with crashes %x, %ld ms after starts",
                  i + 1, loop.crashes, loop.how == vm_end::kill ? "kills" : "planned stops",
                  loop.ends_with, static_cast<long>(loop.work.count));
        if (!runs) {
            return;
        }
    }
    expect_no_violation(l.w);
}

void check_crash_loops(vm_end how)
{
    for (const int crashes : {3, 4}) {
        for (unsigned ends_with{0}; ends_with < 1U << static_cast<unsigned>(crashes); ++ends_with) {
            for (const std::int64_t work : {50, 150, 1'400}) {
                check_crash_loop({crashes, ends_with, how, {work}, {1'400}});
                check_crash_loop({crashes, ends_with, how, {work}, {4'000}});
            }
        }
    }
}

} // namespace

/// Guards against a service that is held back for minutes, since its runner crashed and the
/// scheduling VM was stopped in between (seen by users as LOST).
Test(central_crash_loops, service_runs_again_despite_planned_stops_between_crashes)
{
    check_crash_loops(vm_end::planned_stop);
}

Test(central_crash_loops, service_runs_again_although_holders_are_lost_between_crashes)
{
    check_crash_loops(vm_end::kill);
}

/// Each new holder began the time anew for which the service is held back.
Test(central_crash_loops, service_runs_again_despite_stops_in_series_after_its_crashes)
{
    constexpr millis down{1'400};
    for (const std::int64_t interval : {1'400, 2'600, 4'000}) {
        crash_loop l{1};
        for (int i{0}; i < 3; ++i) {
            cr_assert(l.runs_within(restart_limit(down)));
            l.run_for({150});
            l.crash_runner(down);
        }
        bool runs{false};
        const instant end = l.w.now() + restart_limit(down);
        while (!runs && l.w.now() < end) {
            l.end_scheduler(vm_end::planned_stop);
            const millis left = end - l.w.now();
            runs = l.runs_within(std::min(left, millis{interval}));
        }
        cr_expect(runs, "no run, a stop each %ld ms", static_cast<long>(interval));
        expect_no_violation(l.w);
    }
}

/// A service at fault crashes no more runners than users accept, whoever holds the lease, and those
/// that ran beside it run again.
Test(central_crash_loops, service_that_crashes_its_runners_is_held_back_although_the_lease_moves)
{
    constexpr std::uint64_t seeds{24};
    for (std::uint64_t seed{1}; seed <= seeds; ++seed) {
        for (const vm_end how : {vm_end::planned_stop, vm_end::kill}) {
            crash_loop l{seed};
            const graph_task_id guilty{{id_of(3)}, 0, 0, 0};
            l.w.crashing_tasks.insert(guilty);
            l.submit_service(3, 1, "");
            for (int i{0}; i < 8; ++i) {
                l.run_for({static_cast<std::int64_t>(1'000 + 370 * seed)});
                l.end_scheduler(how);
            }
            l.run_for({60'000});
            cr_expect_leq(l.w.crashes_by(guilty), max_crashes, "seed %lu: %u runners crashed, %s",
                          static_cast<unsigned long>(seed), l.w.crashes_by(guilty),
                          how == vm_end::kill ? "kills" : "planned stops");
            cr_expect_eq(l.running_services(), sound_tasks, "seed %lu: %zu sound tasks run, %s",
                         static_cast<unsigned long>(seed), l.running_services(),
                         how == vm_end::kill ? "kills" : "planned stops");
            expect_no_violation(l.w);
        }
    }
}
