/// \file
/// The last line of a process that aborts.
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <functional>
#include <stdexcept>
#include <string>

#include <criterion/criterion.h>

#include "abort_report.h"

namespace io = cuminmoor::io;

namespace {

struct abort_result {
    std::string output;
    /// The signal that ended the process; 0 without one.
    int signal{0};
};

/// Lets a process of its own report aborts and run `act`.
abort_result run_and_abort(const std::function<void()>& act)
{
    std::array<int, 2> ends{};
    cr_assert_eq(::pipe(ends.data()), 0);
    const pid_t child = ::fork();
    cr_assert_geq(child, 0);
    if (child == 0) {
        io::report_aborts(ends[1], "vm-1", "fd-1");
        io::set_abort_context({"scheduler", 7, "rows_committed"});
        act();
        std::_Exit(EXIT_SUCCESS);
    }
    ::close(ends[1]);
    abort_result result;
    char c{0};
    while (::read(ends[0], &c, 1) == 1) {
        result.output += c;
    }
    ::close(ends[0]);
    int status{0};
    cr_assert_eq(::waitpid(child, &status, 0), child);
    result.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return result;
}

void expect_line(const abort_result& result, const std::string& what)
{
    const std::string expected = " event=process_aborted what=\"" + what +
                                 "\" where=\"rows_committed\" role=\"scheduler\" term=7 vm=vm-1 "
                                 "fd=fd-1\n";
    cr_expect_eq(result.signal, SIGABRT);
    cr_expect_neq(result.output.find(expected), std::string::npos, "%s", result.output.c_str());
}

} // namespace

Test(abort_report, an_uncaught_exception_leaves_a_line)
{
    const auto thrown = std::make_exception_ptr(std::out_of_range{"array::at: \"4\""});
    expect_line(run_and_abort([&]() noexcept { std::rethrow_exception(thrown); }),
                "array::at:  4 ");
}

Test(abort_report, an_exception_of_an_unknown_type_leaves_a_line)
{
    const auto thrown = std::make_exception_ptr(4);
    expect_line(run_and_abort([&]() noexcept { std::rethrow_exception(thrown); }),
                "exception of an unknown type");
}

Test(abort_report, a_failed_check_leaves_a_line)
{
    expect_line(run_and_abort([] { std::abort(); }), "failed check or SIGABRT");
}
