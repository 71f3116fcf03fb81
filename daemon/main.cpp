/// \file
/// Entry point of cuminmoord: parses the settings, handles signals and runs the daemon.
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>

#include "abort_report.h"
#include "central_process.h"
#include "daemon.h"
#include "logging.h"
#include "settings.h"

namespace {

namespace io = cuminmoor::io;

constexpr const char* version_text = "cuminmoord 0.1.0";
constexpr int exit_usage{2};

/// Shuts down gracefully on the first signal and exits at once on the second.
void wait_for_signals(asio::signal_set& signals, io::daemon_process& daemon, bool is_second = false)
{
    signals.async_wait([&signals, &daemon, is_second](const asio::error_code& error, int number) {
        if (error) {
            return;
        }
        io::log_info("signal", {{"number", std::to_string(number)},
                                {"action", is_second ? "exit" : "shutdown"}});
        if (is_second) {
            std::_Exit(EXIT_FAILURE);
        }
        daemon.request_shutdown();
        wait_for_signals(signals, daemon, true);
    });
}

int serve(const io::settings& s)
{
    io::start_logging("cuminmoord", s.min_log_level);
    io::set_log_identity({s.vm.value, s.failure_domain.value});
    io::report_aborts(STDERR_FILENO, s.vm.value, s.failure_domain.value);
    asio::io_context context{1};
    asio::signal_set signals{context, SIGTERM, SIGINT};
    io::daemon_process daemon{s};
    if (const auto started = daemon.start(); !started.ok()) {
        std::cerr << started.message() << '\n';
        return EXIT_FAILURE;
    }
    wait_for_signals(signals, daemon);
    std::thread control{[&daemon, &context] {
        daemon.run();
        context.stop();
    }};
    context.run();
    control.join();
    return EXIT_SUCCESS;
}

int serve_central(const io::settings& s)
{
    io::start_logging("cuminmoord", s.min_log_level);
    io::report_aborts(STDOUT_FILENO, s.vm.value, s.failure_domain.value);
    if (const auto ended = io::run_central_process(s); !ended.ok()) {
        std::cerr << ended.message() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}

int run(const io::settings& s)
{
    switch (s.mode) {
    case io::run_mode::help:
        std::cout << io::settings_help();
        return EXIT_SUCCESS;
    case io::run_mode::version:
        std::cout << version_text << '\n';
        return EXIT_SUCCESS;
    case io::run_mode::print_settings:
        std::cout << io::format_settings(s);
        return EXIT_SUCCESS;
    case io::run_mode::check:
        std::cout << "settings are in order\n";
        return EXIT_SUCCESS;
    case io::run_mode::serve:
        return s.scheduling == io::scheduling_mode::central ? serve_central(s) : serve(s);
    }
    return EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    const auto parsed = io::parse_settings({argv + 1, argv + argc});
    if (!parsed.ok()) {
        std::cerr << parsed.status().message() << '\n';
        return exit_usage;
    }
    return run(*parsed);
}
