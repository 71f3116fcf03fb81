/// \file
/// A small deployment: the store, runners, entry VMs, and clients of two queues.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "entry_vm.h"
#include "recorder.h"
#include "runner.h"
#include "store.h"

namespace review {

/// Exit codes of a case.
enum class verdict : int { held = 0, broken = 1, not_run = 2 };

/// A queue of the manifest.
struct queue {
    std::string host;
    std::string prefix;
};

inline const queue quotes{"nony24.example", "/lohu930/"};

class deployment {
public:
    deployment(recorder& record, std::string log_folder, std::vector<runner_options> runners);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;

    /// Starts the entry VMs and waits until all of them are ready and a job has been done.
    /// \return whether that came to pass in time.
    bool start(std::size_t vms);

    /// \return a manifest with the queue `quotes` or without it.
    static json manifest(int version, bool has_quotes);
    store& platform() { return platform_; }
    runner& at(std::size_t index) { return *runners_.at(index); }
    [[nodiscard]] std::size_t runners() const { return runners_.size(); }
    std::vector<std::unique_ptr<entry_vm>>& vms() { return vms_; }
    /// \return what all runners run now.
    std::vector<task_run> running();
    /// Called for each start, by the runner's thread.
    runner::start_hook on_start;

    /// Sends a call to the entry VMs in turn until one gives a definite answer, as clients do.
    /// \return the answer; status 0 if there was none.
    http_response call(const std::string& method, const queue& to, const std::string& id,
                       const std::string& body = "", int attempts = 4);
    /// \return the state that a GET shows; empty without one.
    std::string state_of(const queue& from, const std::string& id);

private:
    void put_manifest();
    void supervise();

    recorder& record_;
    std::string log_folder_;
    store platform_;
    std::vector<std::unique_ptr<runner>> runners_;
    std::vector<std::unique_ptr<entry_vm>> vms_;
    std::atomic<bool> is_stopping_{false};
    std::thread supervisor_;
    std::size_t next_vm_{0};
};

/// \return an id of a job, 16 hexadecimal digits.
std::string job_id(std::uint64_t number);

/// Waits until `holds` or the time is over. \return whether it held.
bool wait_for(const recorder& record, std::int64_t limit_ms, const std::function<bool()>& holds);

void pause_ms(std::int64_t time);

} // namespace review
