/// \file
/// One stand-in worker: runs tasks as timers, whether they fit or not.
///
/// Progress is kept in the text of the checkpoint ("progress:1500"), in milliseconds of run time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "json_fields.h"

namespace standin {

/// What a worker is and has.
struct worker_profile {
    std::string name;
    std::string incarnation;
    std::string rack;
    std::int64_t milli_cores{64'000};
    std::int64_t memory_mib{250'000};
    std::int64_t accelerators{0};
};

/// What a task's command asks for: "run <ms> [cpu <permille>]" or "fail".
struct task_command {
    bool fails{false};
    std::int64_t run_ms{0};
    /// Share of the declared processors that it uses.
    std::int64_t cpu_permille{1'000};
};

task_command parse_command(const std::string& text);

/// One attempt of a task on this worker.
struct attempt_run {
    std::string status{"running"};
    task_command command;
    json size;
    std::string checkpoint;
    std::int64_t resumed_at_ms{0};
    std::int64_t progress_ms{0};
    std::int64_t throttle_permille{1'000};
    std::int64_t started_ms{0};
    /// Up to when `progress_ms` has been worked out.
    std::int64_t counted_to_ms{0};
    /// Set when the attempt has ended.
    std::int64_t ended_ms{0};
    /// Lease: the worker stops the task at this time.
    std::int64_t lease_ends_ms{0};
};

class worker_machine {
public:
    explicit worker_machine(worker_profile profile) : profile_{std::move(profile)} {}

    /// Carries out the orders and renews the leases.
    /// \param now_ms the worker's clock.
    /// \return the report.
    json sync(const json& request, std::int64_t now_ms);

    /// \return every start of this worker with its end, for tests.
    json history(std::int64_t now_ms);

    /// While set, every task that is started fails at once.
    void set_failing(bool failing) { failing_ = failing; }

    [[nodiscard]] const worker_profile& profile() const { return profile_; }

private:
    using attempt_key = std::pair<std::string, std::int64_t>;

    void advance(std::int64_t now_ms);
    void obey(const json& order, std::int64_t now_ms, std::int64_t renew_ms);
    void start(const attempt_key& key, const json& order, std::int64_t now_ms,
               std::int64_t renew_ms);
    void stop(const attempt_key& key, bool checkpoint, std::int64_t now_ms);
    void acknowledge(const attempt_key& key);
    [[nodiscard]] json report(std::int64_t now_ms) const;

    worker_profile profile_;
    /// Attempts that run or are not acknowledged yet.
    std::map<attempt_key, attempt_run> attempts_;
    /// Attempts that are over and acknowledged.
    std::map<attempt_key, attempt_run> past_;
    std::uint64_t expired_starts_{0};
    bool failing_{false};
};

} // namespace standin
