/// \file
/// Calls do not wait for the results of runners that arrived before them.
#include <string>
#include <variant>

#include <criterion/criterion.h>

#include "event_queue.h"
#include "io_limits.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;
namespace central = cuminmoor::central;

namespace {

constexpr cm::instant start{1'000};

central::runner_hold_ended report_of(const std::string& runner)
{
    central::runner_hold_ended report;
    report.runner.value = runner;
    return report;
}

/// \return the names of the events that can be taken now, in order.
std::string take_all(io::event_queue& q, cm::instant now)
{
    std::string names;
    while (const auto e = q.take(now)) {
        if (const auto* report = std::get_if<central::runner_hold_ended>(&*e)) {
            names += report->runner.value;
        }
        else {
            names += std::holds_alternative<central::tick>(*e) ? "T" : "c";
        }
    }
    return names;
}

} // namespace

Test(event_queue, calls_overtake_reports_and_ticks_do_not)
{
    io::event_queue q;
    q.push(report_of("1"));
    q.push(central::tick{});
    q.push(report_of("2"));
    q.push(central::runner_order_ended{});
    q.push(central::peer_call_received{});
    q.push(central::rows_committed{});
    cr_assert_eq(take_all(q, start), "cc");
    cr_assert(q.needs_slice());
    cr_assert(q.has_tick());
    q.begin_slice(start);
    cr_assert_eq(take_all(q, start), "1T2c");
    cr_assert_not(q.needs_slice());
    cr_assert_not(q.has_tick());
}

Test(event_queue, slice_ends_in_time_and_takes_one_report_at_least)
{
    io::event_queue q;
    for (const char* const name : {"1", "2", "3"}) {
        q.push(report_of(name));
    }
    const cm::instant late = start + io::runner_event_slice;
    q.begin_slice(start);
    q.push(central::peer_call_received{});
    cr_assert_eq(take_all(q, late), "c1");
    q.end_slice(late);
    cr_assert_eq(take_all(q, late), "");
    q.begin_slice(late);
    cr_assert_eq(take_all(q, late), "23");
}

/// Many calls left results of runners 4 ms of each pass, so leases ran out unseen.
Test(event_queue, slice_is_as_long_as_the_calls_before_it)
{
    constexpr cm::millis calls_took{100};
    io::event_queue q;
    q.push(report_of("1"));
    q.push(report_of("2"));
    q.begin_slice(start);
    cr_assert_eq(take_all(q, start + io::runner_event_slice), "1");
    q.end_slice(start);
    q.push(report_of("3"));
    const cm::instant next = start + calls_took;
    q.begin_slice(next);
    cr_assert_eq(take_all(q, next + calls_took - cm::millis{1}), "23");
}
