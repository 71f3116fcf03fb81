/// \file
/// One case: platform, runners and entry VMs on loopback addresses, and the clients' calls.
#pragma once

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <sys/types.h>

#include "client.h"
#include "runner.h"
#include "store.h"

namespace review {

/// Exit codes of a case.
enum class verdict : std::uint8_t { held = 0, broken = 1, not_run = 2 };

struct queue_options {
    std::string name{"quotes"};
    std::string host{"quotes.example"};
    std::string path_prefix{"/quotes/"};
    std::string service{"drape-desk"};
    unsigned max_attempts{4};
    unsigned priority{0};
};

struct entry_vm {
    std::string name;
    std::string failure_domain;
    std::string callers;
    std::string readiness;
    std::string peers;
    /// Where it reaches the store.
    http_server* store{nullptr};
    pid_t pid{0};
};

class world {
public:
    /// Reads the environment: `TROUBLE`, `DAEMON` (the built program) and `FOLDER` (for logs).
    explicit world(const std::string& record_file);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;
    world(world&&) = delete;
    world& operator=(world&&) = delete;

    [[nodiscard]] bool has_trouble() const { return has_trouble_; }
    record& log() { return record_; }

    /// Runs the function on the loop's thread and waits for it.
    void on_loop(const std::function<void()>& action);
    store& platform() { return *platform_; }
    runner& add_runner(const runner_options& options);
    runner& runner_at(std::size_t index) { return *runners_.at(index); }
    [[nodiscard]] std::size_t runner_count() const { return runners_.size(); }
    /// \return a copy of what has happened to runs so far.
    std::vector<run_event> events();

    void set_queues(const std::vector<queue_options>& queues);
    void add_vm(const std::string& name, const std::string& failure_domain);
    entry_vm& vm_at(std::size_t index) { return vms_.at(index); }
    void signal_vm(std::size_t index, int number);
    /// Starts the process of a VM again, on its addresses.
    void restart_vm(std::size_t index);
    /// \return true once all VMs answer that they are ready.
    bool wait_until_ready(std::int64_t limit_ms);

    /// A client's call by way of one VM. Calls and answers are recorded.
    http_answer call(std::size_t vm, const std::string& method, const queue_options& queue,
                     const std::string& job, const std::string& body = "",
                     std::int64_t timeout_ms = 3'000);
    /// Sends a job until it is accepted, to one VM after the other, as the platform's clients do.
    bool submit(const queue_options& queue, const std::string& job, const std::string& body,
                int attempts = 5);
    /// \return the job's state as a VM shows it, or "410", or an empty text without an answer.
    std::string state_of(const queue_options& queue, const std::string& job);
    /// Waits until the job shows one of these states.
    std::string wait_for_state(const queue_options& queue, const std::string& job,
                               const std::vector<std::string>& states, std::int64_t limit_ms);

private:
    void start_process(entry_vm& vm);

    bool has_trouble_;
    std::string daemon_;
    std::string folder_;
    record record_;
    asio::io_context loop_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::vector<run_event> events_;
    std::unique_ptr<store> platform_;
    std::vector<std::unique_ptr<runner>> runners_;
    std::vector<entry_vm> vms_;
    unsigned manifest_version_{0};
    std::size_t next_vm_{0};
    std::thread thread_;
};

void sleep_ms(std::int64_t duration);

/// \return a job id of 16 hexadecimal digits.
std::string job_id(unsigned number);

/// \return one line for each start of a task after a run of it had ended `done`, where that end was
/// noted then or later, and for each two runs of a task at the same time.
std::vector<std::string> repeated_runs(const std::vector<run_event>& events);

} // namespace review
