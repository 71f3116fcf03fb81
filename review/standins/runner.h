/// \file
/// Stand-in for a runner: executes orders, holds leases and reports runs, as the platform's page
/// says. It starts whatever it is told to start (`admission_check` false).
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <asio/steady_timer.hpp>

#include "store.h"

namespace review {

struct runner_options {
    std::string id;
    std::string service{"drape-desk"};
    std::string failure_domain{"accra-east"};
    std::vector<std::string> labels{"a", "rack-1"};
    std::int64_t milli_cores{64'000};
    std::int64_t memory_mb{250'000};
    std::int64_t heartbeat_ms{1'500};
    /// From the boot to its first heartbeat.
    std::int64_t first_heartbeat_ms{0};
    std::int64_t max_hold_ms{10'000};
};

/// What happened to one run, for the judgement.
struct run_event {
    /// `lapsed`: the lease of everything on the runner has run out; `task` is empty.
    enum class kind : std::uint8_t { started, ended, noted, lapsed };
    kind what{kind::started};
    std::int64_t at_ms{0};
    std::string runner;
    std::int64_t born{0};
    std::string task;
    std::uint64_t run{0};
    /// Of an end: done, failed, stopped, lapsed or lost (with its runner).
    std::string how;
};

/// All functions run on the loop's thread. A task's text says "work MS" or "fail MS".
class runner {
public:
    runner(asio::io_context& loop, store& platform, record& log, std::vector<run_event>& events,
           runner_options options);

    /// SIGKILL: all runs and everything it knew are lost, connections are reset.
    void crash();
    /// Starts again under the same id and address, as another boot.
    void boot(runner_options options);
    /// While cut off, nothing reaches it and nothing it says arrives; its tasks work on.
    void set_cut_off(bool cut_off);

    /// The channels that are open now go silent for good; new ones work.
    void silence_open_connections() { server_.silence_open_connections(); }
    /// This share of the orders, in percent, gets no answer and is carried out seconds later.
    void set_late_share(unsigned percent) { late_percent_ = percent; }

    [[nodiscard]] bool is_up() const { return is_up_; }
    [[nodiscard]] const runner_options& options() const { return options_; }
    [[nodiscard]] std::size_t running() const { return runs_.size(); }
    [[nodiscard]] bool runs(const std::string& task) const { return runs_.contains(task); }

private:
    struct task_run {
        std::uint64_t run{0};
        std::int64_t started_at{0};
        std::int64_t work_ms{0};
        std::string outcome;
    };
    struct end {
        std::uint64_t number{0};
        std::string task;
        std::uint64_t run{0};
        std::string how;
    };
    struct waiting_hold {
        reply_function reply;
        std::int64_t until{0};
    };

    void handle(const http_request& request, const reply_function& reply);
    void carry_out(const http_request& request, const reply_function& reply);
    void start(const nlohmann::json& order, const reply_function& reply);
    void stop(const nlohmann::json& order, const reply_function& reply);
    void hold(const nlohmann::json& order, const reply_function& reply);
    void answer(const reply_function& reply, int status, nlohmann::json body) const;
    void refuse(const reply_function& reply, const char* reason) const;
    void extend(const nlohmann::json& order);
    void end_run(const std::string& task, const std::string& how);
    void note_ends(std::uint64_t cursor);
    void note_event(run_event::kind what, const std::string& task, std::uint64_t run,
                    const std::string& how);
    void answer_holds(bool has_new_end);
    [[nodiscard]] nlohmann::json report() const;
    [[nodiscard]] std::int64_t clock() const { return now_ms() - booted_at_; }
    void tick();
    void arm();
    void send_heartbeat();

    store& platform_;
    record& record_;
    std::vector<run_event>& events_;
    runner_options options_;
    asio::steady_timer timer_;
    http_server server_;
    bool is_up_{false};
    bool is_cut_off_{false};
    std::int64_t born_{0};
    std::int64_t booted_at_{0};
    std::int64_t lease_until_{0};
    /// The lease has run out, and this is recorded.
    bool is_lapsed_{false};
    std::uint64_t highest_token_{0};
    std::map<std::string, task_run> runs_;
    /// Highest run of each task that was stopped or has ended here.
    std::map<std::string, std::uint64_t> closed_;
    std::deque<end> ends_;
    std::uint64_t last_end_{0};
    std::list<waiting_hold> holds_;
    std::int64_t next_heartbeat_{0};
    std::int64_t last_heartbeat_{0};
    std::uint64_t heartbeats_{0};
    bool is_listed_{false};
    unsigned late_percent_{0};
};

} // namespace review
