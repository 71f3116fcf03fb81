/// \file
/// Pool of interchangeable backend servers with least-loaded selection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cuminmoor/clock.h"
#include "cuminmoor/ids.h"

namespace cuminmoor {

/// State of one backend server as seen by this entry VM.
struct backend {
    vm_id id;
    /// Maximum number of dispatches in flight from this entry VM; 0 means no new work.
    std::int64_t max_in_flight{0};
    std::int64_t in_flight{0};
    /// Failures since the last answer. While non-zero, the server gets one request at a time.
    std::uint32_t failures{0};
    /// End of the back-off; the server gets no new work before it.
    instant backoff_until{-1};
    bool backing_off{false};
    /// True if the server can take work. `load` and `free_position` then locate it in
    /// `backend_pool::free_by_load_`.
    bool is_free{false};
    std::size_t load{0};
    std::size_t free_position{0};
};

/// Selects the backend server with the fewest dispatches in flight. The cost depends on the number
/// of load levels only, not on the number of servers.
class backend_pool {
public:
    /// Replaces the limits. Servers without a limit get no new work and are removed by the first
    /// call that finds them idle.
    void assign(const std::map<vm_id, std::int64_t>& limits);
    /// \param tie_breaker selects among the least-loaded servers.
    /// \param avoid server that is chosen only if no other one is free.
    /// \return nullopt if all servers are busy or backing off.
    [[nodiscard]] std::optional<vm_id> choose(std::uint64_t tie_breaker, const vm_id& avoid) const;
    /// Takes a slot of `id` for a dispatch.
    void acquire(const vm_id& id);
    /// Releases the slot of a dispatch to `id`.
    void release(const vm_id& id);
    /// Resets the failure count of `id` after an answer.
    void mark_healthy(const vm_id& id);
    /// Records a failure and gives `id` no new work before `until`.
    void back_off(const vm_id& id, instant until);
    /// Ends expired back-offs.
    /// \return true if any ended.
    bool end_backoffs(instant now);

    /// \return number of failures of `id` since its last answer.
    [[nodiscard]] std::uint32_t failures(const vm_id& id) const;
    [[nodiscard]] std::int64_t in_flight(const vm_id& id) const;
    /// \return sum of the limits.
    [[nodiscard]] std::int64_t slots() const { return slots_; }
    [[nodiscard]] std::int64_t total_in_flight() const { return total_in_flight_; }
    /// \return true if no backend server may get new work, even after its back-off.
    [[nodiscard]] bool empty() const { return slots_ == 0; }
    [[nodiscard]] const std::vector<backend>& backends() const { return backends_; }

private:
    void add_to_free(std::size_t index);
    void remove_from_free(std::size_t index);
    void update_free(std::size_t index);
    [[nodiscard]] std::optional<std::size_t> find(const vm_id& id) const;

    std::vector<backend> backends_;
    std::map<vm_id, std::size_t> index_;
    /// Indices of the servers that can take work now, grouped by dispatches in flight.
    std::vector<std::vector<std::size_t>> free_by_load_;
    /// Back-off end times; may contain servers that were removed from the pool.
    std::multimap<instant, vm_id> backoffs_;
    std::int64_t slots_{0};
    std::int64_t total_in_flight_{0};
};

} // namespace cuminmoor
