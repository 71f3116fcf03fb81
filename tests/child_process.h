/// \file
/// A program that a test has started; ended at the latest with the test.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace process_test {

using std::chrono::milliseconds;

class child_process {
public:
    child_process() = default;
    /// Starts `program`; its output goes to `log_file`.
    child_process(const std::string& program, const std::vector<std::string>& words,
                  const std::string& log_file);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends a signal; nothing when the process has ended.
    void send_signal(int number) const;
    /// Sends SIGKILL and waits for the end.
    void kill_now();
    /// Waits for the end by itself.
    /// \return the exit code, 128 + n after signal n, or nothing when `limit` has passed.
    std::optional<int> wait_for_exit(milliseconds limit);

    [[nodiscard]] bool is_running() const { return pid_ > 0; }
    /// \return the process id, 0 without a process.
    [[nodiscard]] pid_t id() const { return pid_; }

private:
    /// 0: no process, or one that was waited for.
    pid_t pid_{0};
};

} // namespace process_test
