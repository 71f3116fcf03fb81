/// \file
/// Backend servers that one kind of request can go to, ordered by load.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cuminmoor/clock.h"
#include "cuminmoor/ids.h"

namespace cuminmoor {

/// One backend server as this entry VM uses it.
struct backend {
    vm_id id;
    /// Dispatches that this entry VM may have under way there; 0: no new work.
    std::int64_t max_in_flight{0};
    std::int64_t in_flight{0};
    /// Failures since the last answer. While there are any, it gets one request at a time.
    std::uint32_t failures{0};
    /// Gets no new work before.
    instant backoff_until{-1};
    bool backing_off{false};
    /// Place in the pool's `free_` lists, valid while `listed`.
    bool is_free{false};
    std::size_t load{0};
    std::size_t free_position{0};
};

/// Chooses the backend server with the fewest dispatches in flight, in constant time.
class backend_pool {
public:
    /// Replaces the allowances; what is left out gets no new work and is forgotten when idle.
    void assign(const std::map<vm_id, std::int64_t>& limits);
    /// \param tie picks among the least loaded.
    /// \param avoid is chosen only when no other is free.
    /// \return nothing when all are busy or backing off.
    [[nodiscard]] std::optional<vm_id> choose(std::uint64_t tie_breaker, const vm_id& avoid) const;
    /// A dispatch went out to `id`, which was chosen just before.
    void acquire(const vm_id& id);
    /// A dispatch to `id` does not hold its slot any more.
    void release(const vm_id& id);
    /// A dispatch to `id` was answered.
    void mark_healthy(const vm_id& id);
    /// No new work for `id` before `until`.
    void back_off(const vm_id& id, instant until);
    /// Ends the back-offs that are over.
    /// \return true when there were any.
    bool end_backoffs(instant now);

    /// \return failures of `id` since its last answer.
    [[nodiscard]] std::uint32_t failures(const vm_id& id) const;
    [[nodiscard]] std::int64_t in_flight(const vm_id& id) const;
    /// \return sum of the allowances.
    [[nodiscard]] std::int64_t slots() const { return slots_; }
    [[nodiscard]] std::int64_t total_in_flight() const { return total_in_flight_; }
    /// \return true when no backend server may get new work, now or after its back-off.
    [[nodiscard]] bool empty() const { return slots_ == 0; }
    [[nodiscard]] const std::vector<backend>& backends() const { return backends_; }

private:
    void add_to_free(std::size_t index);
    void remove_from_free(std::size_t index);
    void update_free(std::size_t index);
    [[nodiscard]] std::optional<std::size_t> find(const vm_id& id) const;

    std::vector<backend> backends_;
    std::map<vm_id, std::size_t> index_;
    /// Indices of those that can take work now, by their dispatches in flight.
    std::vector<std::vector<std::size_t>> free_by_load_;
    /// Ends of back-offs, in order; may name a backend server that is gone.
    std::multimap<instant, vm_id> backoffs_;
    std::int64_t slots_{0};
    std::int64_t total_in_flight_{0};
};

} // namespace cuminmoor
