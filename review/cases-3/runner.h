/// \file
/// Stand-in for a runner: registers itself, starts and stops tasks, and reports them.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "recorder.h"
#include "store.h"

namespace review {

struct runner_options {
    std::string id;
    std::string service{"drape-desk"};
    std::string zone{"accra-east"};
    std::vector<std::string> labels{"a", "r1-1"};
    /// In thousandths of a core.
    std::int64_t cpu{64'000};
    std::int64_t mem_mb{256'000};
    /// Length of the checkpoints of tasks whose text has "saves".
    std::size_t checkpoint_length{16};
};

/// One start of a task.
struct task_run {
    std::string task;
    std::uint64_t run{0};
    std::string spec;
    std::int64_t started_ms{0};
    /// On the recorder's clock; 0: it lasts.
    std::int64_t ends_ms{0};
    /// How it ends then.
    std::string how{"done"};
    std::string checkpoint{};
};

class runner {
public:
    /// Called after a task has begun, with its run; must not call the runner.
    using start_hook = std::function<void(const std::string& id, const task_run& run)>;

    runner(store& platform, recorder& record, runner_options options, start_hook on_start);
    ~runner();
    runner(const runner&) = delete;
    runner& operator=(const runner&) = delete;
    runner(runner&&) = delete;
    runner& operator=(runner&&) = delete;

    /// Everything that runs ends, all channels are reset, and nothing is said any more.
    void crash();
    /// Begins a new life at the same address and with the same id. Its first status report comes
    /// `report_after_ms` after the start.
    void start_again(const runner_options& options, std::int64_t report_after_ms);
    [[nodiscard]] const std::string& id() const { return options_.id; }
    /// \return what runs now.
    [[nodiscard]] std::vector<task_run> running();
    /// \return what it says of itself.
    [[nodiscard]] json report();

private:
    struct task_end {
        std::uint64_t number{0};
        std::string task;
        std::uint64_t run{0};
        std::string how;
    };

    void begin_life(std::int64_t report_after_ms);
    void work();
    void end_due_tasks(std::int64_t now);
    void end_task(const std::string& task, const std::string& how);
    http_response handle(const http_request& request);
    http_response handle_start(const json& order);
    http_response handle_stop(const json& order);
    http_response handle_hold(const json& order, std::unique_lock<std::mutex>& lock);
    [[nodiscard]] http_response refuse(const char* reason) const;
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] json lists() const;
    bool take_fence(const json& order);
    void extend_lease(const json& order);

    store& platform_;
    recorder& record_;
    runner_options options_;
    start_hook on_start_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool is_up_{false};
    std::int64_t born_unix_ms_{0};
    std::int64_t born_ms_{0};
    std::int64_t next_report_ms_{0};
    std::uint64_t seq_{0};
    std::uint64_t fence_{0};
    std::int64_t lease_until_{0};
    std::uint64_t last_end_{0};
    std::map<std::string, task_run> running_;
    std::map<std::string, std::int64_t> stopping_;
    std::map<std::string, std::uint64_t> ended_runs_;
    std::vector<task_end> finished_;
    http_server server_;
    std::thread worker_;
};

} // namespace review
