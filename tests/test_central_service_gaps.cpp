/// \file
/// Services while VMs are stopped in series, some VMs lose the store, and runners are cut off.
#include <cstdint>
#include <cstdlib>
#include <string>

#include <criterion/criterion.h>
#include <criterion/logging.h>

#include "central/expectations.h"
#include "central/service_history.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::uint64_t seeds{40};

void report(std::uint64_t seed, const service_gap& gap)
{
    const std::string runner = gap.last_runner ? std::to_string(*gap.last_runner) : "none";
    const std::string text = "seed " + std::to_string(seed) + ": task " + gap.task.job.value + "." +
                             std::to_string(gap.task.index) + " had no run for " +
                             std::to_string(gap.length().count) + " ms since " +
                             std::to_string(gap.since.ms) + ", last runner " + runner;
    if (gap.is_missed) {
        cr_log_error("%s", text.c_str());
    }
    else {
        cr_log_info("%s", text.c_str());
    }
}

void check_history(const history_options& options)
{
    service_history history{options};
    history.play();
    bool is_missed{false};
    for (const service_gap& gap : history.gaps()) {
        report(options.seed, gap);
        is_missed = is_missed || gap.is_missed;
    }
    expect_no_violation(history.world());
    cr_expect_not(is_missed, "seed %lu", static_cast<unsigned long>(options.seed));
}

/// Checks all seeds, or a single one, for example a failing one.
void check_histories(bool has_waves)
{
    const char* const only = std::getenv("CUMINMOOR_TEST_SEED"); // NOLINT(concurrency-mt-unsafe)
    if (only != nullptr) {
        check_history({std::stoull(only), has_waves});
        return;
    }
    for (std::uint64_t seed{1}; seed <= seeds; ++seed) {
        check_history({seed, has_waves});
    }
}

} // namespace

/// Guards against services without a run after stops and a loss of the store (seen by users as
/// LOST).
Test(central_service_gaps, services_run_despite_stops_and_cut_off_runners)
{
    check_histories(false);
}

/// The same while runners are also cut off several times in a row.
Test(central_service_gaps, services_run_despite_waves_of_cut_off_runners)
{
    check_histories(true);
}
