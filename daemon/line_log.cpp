/// \file
/// Buffers, limits and writes log lines.
#include "line_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "logging.h"
#include "system_clock.h"

namespace cuminmoor::io {

namespace {

constexpr millis window_length{1'000};

/// \return a lower bound of the bytes that event and fields take in a line; quotes and escapes add
/// to it.
std::size_t min_line_bytes(const std::string& event, const std::vector<log_field>& fields)
{
    std::size_t bytes = event.size();
    for (const log_field& f : fields) {
        bytes += f.name.size() + f.value.size();
    }
    return bytes;
}

/// \return true for lines about the regular course of runs. Runs that failed or were stopped, jobs,
/// calls and the lease are not routine.
bool is_routine_line(const std::string& event, const std::vector<log_field>& fields)
{
    constexpr std::array<std::string_view, 3> routine_events{"run_started", "run_relocated",
                                                             "runner_paced"};
    if (std::find(routine_events.begin(), routine_events.end(), event) != routine_events.end()) {
        return true;
    }
    const auto says_done = [](const log_field& f) {
        return f.name == "outcome" && f.value == "done";
    };
    return event == "run_ended" && std::any_of(fields.begin(), fields.end(), says_done);
}

bool is_writable()
{
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

} // namespace

line_log::line_log(clock_source& clock, std::string vm, std::string failure_domain)
    : clock_{clock}, suffix_{" vm=" + std::move(vm) + " fd=" + std::move(failure_domain)}
{
}

void line_log::advance_window()
{
    const instant now = clock_.now();
    if (now - window_start_ >= window_length) {
        window_start_ = now;
        window_bytes_ = 0;
        window_routine_bytes_ = 0;
        has_reported_in_window_ = false;
    }
}

bool line_log::fits(std::size_t bytes, bool is_routine) const
{
    const bool fits_any =
        window_bytes_ + bytes <= bytes_per_second && buffer_.size() + bytes <= max_buffered_bytes;
    const bool fits_routine = window_routine_bytes_ + bytes <= routine_bytes_per_second &&
                              buffer_.size() + bytes <= max_buffered_bytes_for_routine;
    return fits_any && (!is_routine || fits_routine);
}

void line_log::count_dropped(bool is_routine)
{
    ++dropped_lines_;
    dropped_routine_lines_ += is_routine ? 1 : 0;
}

void line_log::report_dropped_lines()
{
    advance_window();
    if (dropped_lines_ == reported_dropped_lines_ || has_reported_in_window_) {
        return;
    }
    buffer_ += "event=log_lines_left_out total=" + std::to_string(dropped_lines_) +
               " routine=" + std::to_string(dropped_routine_lines_) + suffix_ + "\n";
    reported_dropped_lines_ = dropped_lines_;
    has_reported_in_window_ = true;
}

void line_log::add(const std::string& event, const std::vector<log_field>& fields)
{
    advance_window();
    const bool is_routine = is_routine_line(event, fields);
    if (!fits(min_line_bytes(event, fields) + suffix_.size(), is_routine)) {
        // Dropped before it is formatted: under a flood of events most lines are dropped.
        count_dropped(is_routine);
        return;
    }
    std::string line = "t=" + std::to_string(wall_time().count) + " " + format_event(event, fields);
    line += suffix_;
    line += '\n';
    if (!fits(line.size(), is_routine)) {
        count_dropped(is_routine);
        return;
    }
    window_bytes_ += line.size();
    window_routine_bytes_ += is_routine ? line.size() : 0;
    buffer_ += line;
}

void line_log::flush()
{
    if (buffer_.empty()) {
        return;
    }
    report_dropped_lines();
    // Writes at most the pipe's atomic size: a larger write could block although poll reports the
    // pipe as writable.
    constexpr std::size_t atomic_bytes{4'096};
    std::size_t done{0};
    while (done < buffer_.size() && is_writable()) {
        const std::size_t bytes = std::min(atomic_bytes, buffer_.size() - done);
        const ssize_t written = ::write(STDOUT_FILENO, buffer_.data() + done, bytes);
        if (written <= 0) {
            break;
        }
        done += static_cast<std::size_t>(written);
    }
    buffer_.erase(0, done);
}

} // namespace cuminmoor::io
