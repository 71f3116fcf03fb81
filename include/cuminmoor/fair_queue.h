/// \file
/// Requests of one service that wait for a slot: even turns among callers, by deadline within one.
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

/// Start-time fair queue. Each caller has a count of turns; the one with the fewest goes next, with
/// its earliest deadline first. A request whose deadline is near goes before that as long as its
/// caller is at most `config::urgent_turns` ahead; the turn is charged all the same.
class fair_queue {
public:
    void push(const queued_request& r);
    /// Removes a request that waits; nothing happens when it does not.
    void remove(const queued_request& r);
    /// \param urgent_before deadlines up to this instant go first.
    std::optional<traffic_handle> pop(instant urgent_before);

    [[nodiscard]] std::size_t size() const { return by_deadline_.size(); }
    [[nodiscard]] bool empty() const { return by_deadline_.empty(); }
    /// \return number of callers with a waiting request.
    [[nodiscard]] std::size_t callers() const { return caller_queues_.size(); }
    [[nodiscard]] std::size_t size_of(const caller_id& caller) const;
    /// \return about how many would go before a new request of `caller` with that deadline.
    [[nodiscard]] std::size_t count_ahead(const caller_id& caller, instant deadline) const;
    /// \return the latest request of the caller with the most waiting ones; the queue isn't empty.
    [[nodiscard]] traffic_handle latest_of_largest_queue() const;

private:
    using queue_key = std::pair<instant, traffic_handle>;
    struct caller_queue {
        /// Never empty.
        std::set<queue_key> waiting;
        /// Turns taken so far; at least `turn_` when the lane was opened.
        std::uint64_t start_tag{0};
    };

    [[nodiscard]] caller_id next_caller(instant urgent_before) const;
    void erase(std::map<caller_id, caller_queue>::iterator found, const queue_key& key);

    std::map<caller_id, caller_queue> caller_queues_;
    /// The lanes in the order of their turns.
    std::set<std::pair<std::uint64_t, caller_id>> by_start_tag_;
    /// All waiting requests; each is in exactly one lane.
    std::map<queue_key, caller_id> by_deadline_;
    /// Turns of the caller that was served last; never goes back.
    std::uint64_t virtual_time_{0};
};

} // namespace cuminmoor
