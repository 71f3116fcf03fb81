/// \file
/// Rows of the lease that cannot name all runners that do not answer.
#include <cstddef>
#include <string>

#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

/// More than a row can name.
constexpr std::size_t runners{2'400};
/// The last one in the order of the ids; a row that is too long leaves it out.
constexpr std::size_t host{999};
constexpr std::size_t reachable{10};

/// Starts a service on `host` only; the others have been used, too.
void start_service_on_host(central_world& w)
{
    for (std::size_t i{0}; i < runners; ++i) {
        w.runner(i).entry.draining = i != host;
    }
    w.run_for(warm_up);
    graph_job job = central_world::make_job(id_of(1), 1, 2, {400});
    job.steps[0].is_service = true;
    w.submit(0, job);
    w.run_for({1'000});
    cr_assert_eq(w.runner(host).running.size(), 2);
    for (std::size_t i{0}; i < reachable; ++i) {
        w.runner(i).entry.draining = false;
    }
    w.set_listed(0, true);
    w.run_for({100});
}

/// Cuts the VM that schedules off from the store and from some runners, and the other VMs off from
/// all other runners, so that no runner tells it of its successor.
void isolate(central_world& w, std::size_t holder)
{
    w.faults.vms_without_store.insert(holder);
    for (std::size_t vm{0}; vm < 3; ++vm) {
        for (std::size_t i{0}; i < runners; ++i) {
            if ((vm == holder) == (i < reachable)) {
                w.faults.unreachable_runner_paths.insert({vm, i});
            }
        }
    }
}

} // namespace

/// Guards against a successor that takes a runner which its predecessor's row left out for one
/// whose leases of earlier holders have expired.
Test(central_long_handovers, runners_left_out_of_a_row_still_have_leases_of_earlier_holders)
{
    central_world w{{.seed = 1, .vms = 3, .runners = runners}};
    w.faults.page_rows = 500;
    start_service_on_host(w);
    std::size_t incomplete{0};
    w.log_to = [&incomplete](const std::string& line) {
        incomplete += line.find("handover_incomplete") == std::string::npos ? 0 : 1;
    };
    const std::size_t isolated = w.scheduler().value();
    isolate(w, isolated);
    std::size_t successor{isolated};
    while (successor == isolated) {
        w.run_for({20});
        for (std::size_t vm{0}; vm < 3; ++vm) {
            const bool holds = w.state_of(vm).lease.current_role == role::scheduler;
            successor = vm != isolated && holds ? vm : successor;
        }
        cr_assert_lt(w.now().ms, 30'000);
    }
    w.run_for({300});
    cr_assert_gt(incomplete, 0);
    w.kill(successor);
    w.run_for({50});
    w.restart(successor);
    w.run_for({14'000});
    expect_no_violation(w);
    cr_assert_eq(w.runner(0).running.size() + w.runner(1).running.size(), 2);
}
