/// \file
/// Queue of the requests of one service: fair among callers, by deadline within a caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "cuminmoor/clock.h"
#include "cuminmoor/ids.h"

namespace cuminmoor {

struct queued_request {
    caller_id caller;
    instant deadline;
    traffic_handle handle;
};

/// Start-time fair queue in which every request costs one unit. The caller with the lowest start
/// tag is served next, its earliest deadline first. A request with an urgent deadline is served
/// earlier if its caller's start tag exceeds the lowest one by at most `config::urgent_turns`; it
/// is charged like any other.
class fair_queue {
public:
    void push(const queued_request& r);
    /// Removes a queued request; does nothing if it is not queued.
    void remove(const queued_request& r);
    /// \param urgent_before deadlines up to and including this instant are urgent.
    std::optional<traffic_handle> pop(instant urgent_before);

    [[nodiscard]] std::size_t size() const { return by_deadline_.size(); }
    [[nodiscard]] bool empty() const { return by_deadline_.empty(); }
    /// \return number of callers with at least one queued request.
    [[nodiscard]] std::size_t callers() const { return caller_queues_.size(); }
    [[nodiscard]] std::size_t size_of(const caller_id& caller) const;
    /// \return approximate number of requests served before a new one of `caller` with that
    /// deadline.
    [[nodiscard]] std::size_t count_ahead(const caller_id& caller, instant deadline) const;
    /// \return the request with the latest deadline of the caller with the most queued requests.
    /// \pre the queue is not empty.
    [[nodiscard]] traffic_handle latest_of_largest_queue() const;

private:
    using queue_key = std::pair<instant, traffic_handle>;
    struct caller_queue {
        /// Never empty.
        std::set<queue_key> waiting;
        /// Virtual time at which the caller's next request starts; initially `virtual_time_`.
        std::uint64_t start_tag{0};
    };

    [[nodiscard]] caller_id next_caller(instant urgent_before) const;
    void erase(std::map<caller_id, caller_queue>::iterator found, const queue_key& key);

    std::map<caller_id, caller_queue> caller_queues_;
    /// The callers sorted by start tag.
    std::set<std::pair<std::uint64_t, caller_id>> by_start_tag_;
    /// All queued requests; each is also in exactly one caller queue.
    std::map<queue_key, caller_id> by_deadline_;
    /// Virtual time of the queue; never decreases.
    std::uint64_t virtual_time_{0};
};

} // namespace cuminmoor
