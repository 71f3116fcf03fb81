/// \file
/// What a long queue of tasks without room costs the scheduler.
#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::size_t runners{20};
constexpr millis observed{1'000};

/// Fills all runners, and lets `waiting` jobs wait for room.
/// \return runners weighed in a second while tasks end and others start.
std::uint64_t weighed_in_a_second(std::uint64_t waiting)
{
    central_world w{{.vms = 1, .runners = runners}};
    w.run_for(warm_up);
    constexpr std::uint32_t tasks{8 * runners};
    w.submit(0, central_world::make_job(id_of(1), 2, tasks, {3'000}));
    for (std::uint64_t n{2}; n < 2 + waiting; ++n) {
        w.submit(0, central_world::make_job(id_of(n), 1, 2, {200}));
    }
    w.run_for({3'100});
    const std::uint64_t before = w.state_of(0).scheduler.runners_weighed;
    w.run_for(observed);
    expect_no_violation(w);
    return w.state_of(0).scheduler.runners_weighed - before;
}

} // namespace

/// Seen on hanseok-cuminmoor-grown, trouble-1: with a few hundred steps waiting, the scheduler's
/// processor went into weighing every runner for each of them, and calls waited until they failed.
Test(central_queue, steps_that_wait_for_the_same_room_are_weighed_once)
{
    const std::uint64_t short_queue = weighed_in_a_second(10);
    const std::uint64_t long_queue = weighed_in_a_second(200);
    cr_log_info("weighed: %lu with 10 jobs waiting, %lu with 200", short_queue, long_queue);
    cr_assert_leq(long_queue, 2 * short_queue);
}
