/// \file
/// Handlers of std::terminate and SIGABRT. The line is put together without allocations, as the
/// heap may be damaged.
#include "abort_report.h"

#include <unistd.h>

#include <array>
#include <charconv>
#include <csignal>
#include <exception>
#include <string_view>
#include <system_error>

#include "system_clock.h"

namespace cuminmoor::io {

namespace {

/// A line in a buffer of fixed size; what does not fit is cut off.
class fixed_line {
public:
    void add(std::string_view text)
    {
        for (const char c : text) {
            if (size_ < buffer_.size() - 1) {
                buffer_.at(size_++) = c;
            }
        }
    }
    /// Adds a quoted value; quotes and control characters become spaces.
    void add_quoted(std::string_view text)
    {
        add("\"");
        for (const char c : text) {
            const bool is_plain = c >= ' ' && c != '"' && c != '\\';
            add({is_plain ? &c : " ", 1});
        }
        add("\"");
    }
    void add(std::uint64_t number)
    {
        constexpr std::size_t max_digits{20};
        std::array<char, max_digits> digits{};
        char* const end = digits.data() + digits.size();
        const auto done = std::to_chars(digits.data(), end, number);
        add({digits.data(), static_cast<std::size_t>(done.ptr - digits.data())});
    }
    void clear() { size_ = 0; }
    [[nodiscard]] std::string_view text() const { return {buffer_.data(), size_}; }

private:
    static constexpr std::size_t max_bytes{1'024};
    std::array<char, max_bytes> buffer_{};
    std::size_t size_{0};
};

struct report_state {
    int file_descriptor{STDERR_FILENO};
    std::string identity;
    abort_context context;
    /// Text of the uncaught exception, if any.
    fixed_line cause;
};

report_state& state()
{
    static report_state value;
    return value;
}

void write_report()
{
    const report_state& s = state();
    const std::string_view cause = s.cause.text();
    fixed_line line;
    line.add("t=");
    line.add(static_cast<std::uint64_t>(wall_time().count));
    line.add(" event=process_aborted what=");
    line.add_quoted(cause.empty() ? "failed check or SIGABRT" : cause);
    line.add(" where=");
    line.add_quoted(s.context.event);
    line.add(" role=");
    line.add_quoted(s.context.role);
    line.add(" term=");
    line.add(s.context.term);
    line.add(s.identity);
    line.add("\n");
    // Nothing can be done if the line cannot be written.
    [[maybe_unused]] const ssize_t written =
        ::write(s.file_descriptor, line.text().data(), line.text().size());
}

/// Notes the uncaught exception and aborts, which writes the line.
[[noreturn]] void on_terminate()
{
    fixed_line& cause = state().cause;
    cause.clear();
    cause.add("std::terminate");
    if (const std::exception_ptr current = std::current_exception()) {
        try {
            std::rethrow_exception(current);
        }
        catch (const std::exception& e) {
            cause.clear();
            cause.add(e.what());
        }
        catch (...) {
            cause.clear();
            cause.add("exception of an unknown type");
        }
    }
    std::abort();
}

extern "C" void on_abort_signal(int number)
{
    write_report();
    // The process ends by the signal, as it would have without this handler.
    ::signal(number, SIG_DFL);
    ::raise(number);
}

} // namespace

void report_aborts(int file_descriptor, const std::string& vm, const std::string& failure_domain)
{
    report_state& s = state();
    s.file_descriptor = file_descriptor;
    s.identity = " vm=" + vm + " fd=" + failure_domain;
    std::set_terminate(on_terminate);
    struct sigaction action {};
    action.sa_handler = on_abort_signal;
    sigaction(SIGABRT, &action, nullptr);
}

void set_abort_context(const abort_context& context)
{
    state().context = context;
}

} // namespace cuminmoor::io
