/// \file
/// Stops, starts and signals the VMs' processes of a soak, and notices those that end by
/// themselves.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "judge.h"
#include "world.h"

namespace soak {

class supervisor {
public:
    /// Its VMs run. `folder` has their logs. A process that was stopped starts again
    /// `restart_after_ms` after its end.
    supervisor(review::world& w, std::size_t vm_count, std::string folder,
               std::int64_t restart_after_ms)
        : world_{w}, folder_{std::move(folder)}, restart_after_ms_{restart_after_ms}, vms_(vm_count)
    {
    }

    /// SIGTERM, SIGKILL when the grace time is over, and another start.
    void stop(std::size_t vm);
    /// SIGKILL, and another start after `down_ms`.
    void kill_now(std::size_t vm, std::int64_t down_ms);
    /// SIGSTOP until `length_ms` has passed.
    void pause(std::size_t vm, std::int64_t length_ms);
    void reload(std::size_t vm);
    /// Does what is due. To be called every few milliseconds.
    void tick();

    /// \return the VM that has won the last lease, by the logs; an empty optional before the first.
    [[nodiscard]] std::optional<std::size_t> scheduling_vm();
    /// \return the times at which VMs were stopping, paused, or not there.
    [[nodiscard]] std::vector<vm_trouble> troubles() const;
    [[nodiscard]] const std::vector<std::string>& own_ends() const { return own_ends_; }

private:
    /// Times are 0 when nothing is due.
    struct process_state {
        std::int64_t kill_at{0};
        std::int64_t restart_at{0};
        std::int64_t continue_at{0};
        /// Since when it is stopping, paused or down.
        std::int64_t trouble_since{0};
    };

    [[nodiscard]] bool runs(std::size_t vm) { return world_.vm_at(vm).pid > 0; }
    void notice_end(std::size_t vm);
    void begin_trouble(std::size_t vm);
    void end_trouble(std::size_t vm);

    review::world& world_;
    std::string folder_;
    std::int64_t restart_after_ms_;
    std::vector<process_state> vms_;
    std::vector<vm_trouble> troubles_;
    std::vector<std::string> own_ends_;
};

} // namespace soak
