/// \file
/// Clients of a soak: they submit jobs, ask for their state and cancel some, through any VM.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "judge.h"
#include "world.h"

namespace soak {

/// Starts its threads at once; they read only the VMs' addresses of the world.
class client_group {
public:
    client_group(review::world& w, std::size_t vm_count, const review::queue_options& queue,
                 std::uint64_t seed);
    ~client_group() { stop(); }
    client_group(const client_group&) = delete;
    client_group& operator=(const client_group&) = delete;
    client_group(client_group&&) = delete;
    client_group& operator=(client_group&&) = delete;

    /// Ends the traffic.
    void stop();
    /// After `stop`: asks once for each accepted job, and adds what was seen.
    void report(observations& seen);

private:
    void run(unsigned number, std::uint64_t seed);
    void submit(std::mt19937_64& random, const std::string& job);
    void ask(std::size_t vm, const std::string& job);

    review::world& world_;
    std::size_t vm_count_;
    review::queue_options queue_;
    std::atomic<bool> is_over_{false};
    /// Guards `seen_`.
    std::mutex mutex_;
    observations seen_;
    std::vector<std::thread> threads_;
};

} // namespace soak
