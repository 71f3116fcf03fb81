/// \file
/// Calls do not wait for the results of runners that arrived before them.
#include <set>
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
    report.result = central::order_result::done;
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

Test(event_queue, calls_and_ticks_overtake_reports)
{
    io::event_queue q;
    q.push(report_of("1"));
    q.push(central::tick{});
    q.push(report_of("2"));
    q.push(central::runner_order_ended{});
    q.push(central::peer_call_received{});
    q.push(central::rows_committed{});
    cr_assert_eq(take_all(q, start), "Tcc");
    cr_assert(q.needs_slice());
    q.begin_slice(start);
    cr_assert_eq(take_all(q, start), "12c");
    cr_assert_not(q.needs_slice());
}

/// Ticks were starved for 27 s while results of runners kept arriving.
Test(event_queue, tick_goes_before_reports_and_outside_of_slices)
{
    io::event_queue q;
    q.push(report_of("1"));
    q.push(report_of("2"));
    q.push(central::tick{});
    cr_assert_eq(take_all(q, start), "T");
    q.begin_slice(start);
    cr_assert_eq(take_all(q, start), "12");
}

/// A check must not find a runner silent whose report arrived before it.
Test(event_queue, tick_tells_of_reports_that_wait)
{
    io::event_queue q;
    q.push(report_of("1"));
    q.push(report_of("2"));
    central::runner_hold_ended unanswered = report_of("3");
    unanswered.result = central::order_result::unknown;
    q.push(unanswered);
    q.push(central::tick{});
    const auto e = q.take(start);
    cr_assert(e && std::holds_alternative<central::tick>(*e));
    const std::set<central::runner_id> waiting{{"1"}, {"2"}};
    cr_assert_eq(std::get<central::tick>(*e).unread_reports, waiting);
}

Test(event_queue, slice_ends_for_a_tick_and_is_made_up_for)
{
    constexpr cm::millis calls_took{100};
    io::event_queue q;
    for (const char* const name : {"1", "2", "3", "4"}) {
        q.push(report_of(name));
    }
    q.begin_slice(start);
    cr_assert(q.take(start));
    q.end_slice(start + io::runner_event_slice);
    const cm::instant next = start + io::runner_event_slice + calls_took;
    q.begin_slice(next);
    q.set_next_tick(next);
    cr_assert(q.take(next));
    cr_assert(q.take(next + io::runner_event_slice - cm::millis{1}));
    const cm::instant end = next + io::runner_event_slice;
    cr_assert_not(q.take(end));
    q.end_slice(end);
    q.set_next_tick(cm::never);
    q.begin_slice(end);
    cr_assert(q.take(end));
    q.push(report_of("5"));
    cr_assert(q.take(end + calls_took - io::runner_event_slice - cm::millis{1}));
    q.push(report_of("6"));
    cr_assert_not(q.take(end + calls_took - io::runner_event_slice));
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
