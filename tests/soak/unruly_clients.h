/// \file
/// Clients of a soak that hold connections and bodies open, now at one VM, now at another.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <thread>

#include "world.h"

namespace soak {

/// Starts its thread at once; it reads only the VMs' addresses of the world.
class unruly_clients {
public:
    unruly_clients(review::world& w, std::size_t vm_count, std::uint64_t seed);
    ~unruly_clients() { stop(); }
    unruly_clients(const unruly_clients&) = delete;
    unruly_clients& operator=(const unruly_clients&) = delete;
    unruly_clients(unruly_clients&&) = delete;
    unruly_clients& operator=(unruly_clients&&) = delete;

    /// Ends them; their connections are closed.
    void stop();

private:
    void run(std::uint64_t seed);
    /// Crowds one address of a VM for a while.
    void visit(const std::string& address, std::uint64_t drawn);

    review::world& world_;
    std::size_t vm_count_;
    std::atomic<bool> is_over_{false};
    std::thread thread_;
};

} // namespace soak
