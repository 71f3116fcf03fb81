/// \file
/// An entry VM: the process that the deploy file names, with its environment.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>

#include "http.h"
#include "recorder.h"

namespace review {

struct vm_settings {
    std::string name;
    std::string zone;
    std::string store_address;
    std::string log_folder;
    std::int64_t memory_mb{260};
};

class entry_vm {
public:
    entry_vm(vm_settings settings, recorder& record);
    ~entry_vm();
    entry_vm(const entry_vm&) = delete;
    entry_vm& operator=(const entry_vm&) = delete;
    entry_vm(entry_vm&&) = delete;
    entry_vm& operator=(entry_vm&&) = delete;

    void start();
    void signal(int number) const;
    /// Ends the process for good.
    void remove();
    /// Does what the platform does with the process: ends it if it takes more memory than its
    /// machine has, and starts it again shortly after it has ended.
    void supervise();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] const std::string& callers() const { return callers_; }
    [[nodiscard]] const std::string& name() const { return settings_.name; }
    /// \return how often the process has ended without being told to.
    [[nodiscard]] int own_ends() const { return own_ends_; }

private:
    [[nodiscard]] bool has_ended();
    [[nodiscard]] std::int64_t resident_mb() const;

    vm_settings settings_;
    recorder& record_;
    std::string callers_;
    std::string readiness_;
    std::string peers_;
    pid_t pid_{-1};
    std::int64_t restart_at_ms_{0};
    bool is_removed_{false};
    int own_ends_{0};
};

} // namespace review
