/// \file
/// Taking over the schedule: what a new holder of the lease does first.
#include <cstdint>
#include <optional>

#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::size_t vms{4};
constexpr std::uint64_t jobs{40};

void submit_lasting_jobs(central_world& w)
{
    for (std::uint64_t n{1}; n <= jobs; ++n) {
        graph_job job = central_world::make_job(id_of(n), 1, 1, {400});
        job.steps[0].is_service = true;
        w.submit(n % 3, job);
    }
    w.run_for({1'000});
}

/// \return the VM that holds the lease and reads the jobs.
std::optional<std::size_t> reader(const central_world& w)
{
    for (std::size_t vm{0}; vm < vms; ++vm) {
        if (w.state_of(vm).lease.now == role::loading) {
            return vm;
        }
    }
    return std::nullopt;
}

} // namespace

/// Seen on hanseok-cuminmoor-grown, trouble-1: eight holders in a row lost the lease 3.03 s after
/// they had won it, each while it read the jobs, without having renewed it once.
Test(central_takeover, a_holder_that_reads_for_long_renews_its_lease_at_once)
{
    central_world w{{.vms = vms, .runners = 10}};
    w.run_for(warm_up);
    submit_lasting_jobs(w);
    w.faults.page_time = {500};
    w.kill(*w.scheduler());
    while (!reader(w)) {
        w.run_for({10});
    }
    const std::size_t holder = *reader(w);
    const instant won_at = w.state_of(holder).lease.renewed_at;
    w.run_for(config::lease_renewal + config::lease_retry);
    cr_assert(w.state_of(holder).lease.now == role::loading);
    cr_assert_gt(w.state_of(holder).lease.renewed_at.ms, won_at.ms);
    w.run_for({15'000});
    cr_assert_eq(w.scheduler().value_or(SIZE_MAX), holder);
    expect_no_violation(w);
}
