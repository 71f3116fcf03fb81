/// \file
/// Start, signals and end of child processes.
#include "child_process.h"

#include <csignal>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

// NOLINTNEXTLINE(readability-redundant-declaration): the standard leaves it to the program.
extern char** environ;

namespace process_test {

namespace {

constexpr milliseconds look_period{10};
constexpr int signal_exit_base = 128;
constexpr mode_t log_mode = 0644;

int exit_code_of(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : signal_exit_base + WTERMSIG(status);
}

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& words,
                             const std::string& log_file)
{
    std::vector<std::string> line{RUN_WITH_PARENT_PROGRAM, std::to_string(getpid()), program};
    line.insert(line.end(), words.begin(), words.end());
    std::vector<char*> raw;
    raw.reserve(line.size() + 1);
    for (auto& word : line) {
        raw.push_back(word.data());
    }
    raw.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&pid_, RUN_WITH_PARENT_PROGRAM, &actions, nullptr, raw.data(), environ) != 0) {
        pid_ = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
}

child_process::~child_process()
{
    kill_now();
}

child_process::child_process(child_process&& other) noexcept : pid_{std::exchange(other.pid_, 0)} {}

child_process& child_process::operator=(child_process&& other) noexcept
{
    if (this != &other) {
        kill_now();
        pid_ = std::exchange(other.pid_, 0);
    }
    return *this;
}

void child_process::send_signal(int number) const
{
    if (pid_ > 0) {
        kill(pid_, number);
    }
}

void child_process::kill_now()
{
    if (pid_ > 0) {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
}

std::optional<int> child_process::wait_for_exit(milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    int status = 0;
    while (pid_ > 0) {
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = 0;
            return exit_code_of(status);
        }
        if (std::chrono::steady_clock::now() >= end) {
            break;
        }
        std::this_thread::sleep_for(look_period);
    }
    return std::nullopt;
}

} // namespace process_test
