/// \file
/// Format of log lines, and the limits of the log.
#include <criterion/criterion.h>

#include "io_limits.h"
#include "lag_report.h"
#include "line_log.h"
#include "log_limiter.h"
#include "logging.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;

namespace {

class manual_clock final : public cm::clock_source {
public:
    cm::instant now() override { return time; }

    cm::instant time{5'000};
};

} // namespace

Test(logging, special_characters_are_quoted)
{
    cr_assert_eq(io::format_event("e", {{"a", "1"}, {"b", "two words"}, {"c", ""}}),
                 R"(event=e a=1 b="two words" c="")");
    cr_assert_eq(io::format_event("e", {{"a", "x=\"y\"\nz"}}), R"(event=e a="x=\"y\" z")");
}

/// Guards against text of other writers that a terminal takes for commands.
Test(logging, control_characters_are_replaced)
{
    for (const std::string control : {"\x1b", "\x01", "\x0b", "\x7f"}) {
        cr_assert_eq(io::format_event("e", {{"a", "x" + control + "y"}}), R"(event=e a="x y")");
    }
}

Test(log_limiter, excess_lines_are_suppressed_and_counted)
{
    io::log_limiter limiter;
    for (std::uint32_t i = 0; i < io::log_limiter::lines_per_window; ++i) {
        cr_assert(limiter.admit(cm::instant{5'000}) == 0);
    }
    cr_assert(!limiter.admit(cm::instant{5'000}));
    cr_assert(!limiter.admit(cm::instant{5'999}));
    cr_assert(limiter.admit(cm::instant{6'000}) == 2);
    cr_assert(limiter.admit(cm::instant{6'000}) == 0);
}

Test(line_log, lines_over_the_rate_limit_are_counted_and_shorter_lines_still_fit)
{
    manual_clock clock;
    io::line_log log{clock, "vm-1", "fd-1"};
    const std::vector<cm::log_field> fields{{"task", "a.0.0.1"}, {"detail", "two words"}};
    // The wall-clock time in ms has 13 digits.
    const std::size_t line_bytes = std::string{"t=1234567890123  vm=vm-1 fd=fd-1\n"}.size() +
                                   io::format_event("run_stopped", fields).size();
    const std::size_t admitted = io::line_log::bytes_per_second / line_bytes;
    constexpr std::size_t lines{10'000};
    for (std::size_t i{0}; i < lines; ++i) {
        log.add("run_stopped", fields);
    }
    cr_assert_eq(log.dropped_lines(), lines - admitted);
    // A line that takes exactly the remaining bytes fits once.
    const std::size_t left = io::line_log::bytes_per_second - admitted * line_bytes;
    const std::size_t shortest = std::string{"t=1234567890123 event= vm=vm-1 fd=fd-1\n"}.size();
    cr_assert_geq(left, shortest);
    log.add(std::string(left - shortest, 'e'), {});
    cr_assert_eq(log.dropped_lines(), lines - admitted);
    log.add("e", {});
    cr_assert_eq(log.dropped_lines(), lines - admitted + 1);
    clock.time = cm::instant{6'000};
    log.add("run_stopped", fields);
    cr_assert_eq(log.dropped_lines(), lines - admitted + 1);
}

/// Guards against a busy scheduler whose starts of runs displace all other lines.
Test(line_log, routine_lines_leave_room_for_the_others)
{
    manual_clock clock;
    io::line_log log{clock, "vm-1", "fd-1"};
    const std::vector<cm::log_field> done{{"task", "a.0.0.1"}, {"outcome", "done"}};
    const std::vector<cm::log_field> failed{{"task", "a.0.0.1"}, {"outcome", "failed"}};
    const std::size_t line_bytes = std::string{"t=1234567890123  vm=vm-1 fd=fd-1\n"}.size() +
                                   io::format_event("run_ended", done).size();
    const std::size_t admitted = io::line_log::routine_bytes_per_second / line_bytes;
    constexpr std::size_t lines{10'000};
    for (std::size_t i{0}; i < lines; ++i) {
        log.add("run_ended", done);
    }
    cr_assert_eq(log.dropped_lines(), lines - admitted);
    cr_assert_eq(log.dropped_routine_lines(), lines - admitted);
    log.add("run_started", {});
    log.add("runner_paced", {});
    log.add("run_relocated", {});
    log.add("run_ended", failed);
    log.add("cancel_processed", {});
    // At most one of the three routine lines is short enough for what is left of their limit.
    const std::size_t dropped = log.dropped_routine_lines();
    cr_assert_geq(dropped, lines - admitted + 2);
    cr_assert_eq(log.dropped_lines(), dropped);
}

Test(lag_report, late_timers_are_reported_at_most_once_a_period)
{
    cm::central::central_state state;
    state.scheduler.placement_rounds = 7;
    io::lag_report report;
    const cm::millis late = io::min_reported_lag + cm::millis{1};
    cr_assert_not(report.observe(io::min_reported_lag, cm::instant{5'000}, state).has_value());
    cr_assert(report.observe(late, cm::instant{5'000}, state).has_value());
    state.scheduler.placement_rounds = 9;
    cr_assert_not(report.observe(late, cm::instant{5'999}, state).has_value());
    const auto fields = report.observe(late, cm::instant{6'000}, state);
    cr_assert(fields.has_value());
    cr_assert_eq(io::format_event("loop_late", *fields),
                 "event=loop_late lag_ms=101 open_calls=0 ready_steps=0 placement_rounds=2 "
                 "runners_scored=0 since_ms=1000");
}
