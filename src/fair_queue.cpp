/// \file
/// Start-time fair queue among callers, by deadline within a caller.
#include "cuminmoor/fair_queue.h"

#include <algorithm>

#include "cuminmoor/config.h"

namespace cuminmoor {

namespace {

/// Limits for the number of queue entries visited per operation.
constexpr std::size_t max_steps{64};
constexpr std::size_t max_urgent_steps{8};

} // namespace

void fair_queue::push(const queued_request& r)
{
    auto& queue = caller_queues_[r.caller];
    if (queue.waiting.empty()) {
        queue.start_tag = virtual_time_;
        by_start_tag_.emplace(queue.start_tag, r.caller);
    }
    queue.waiting.emplace(r.deadline, r.handle);
    by_deadline_.emplace(queue_key{r.deadline, r.handle}, r.caller);
}

void fair_queue::remove(const queued_request& r)
{
    const auto found = caller_queues_.find(r.caller);
    const queue_key key{r.deadline, r.handle};
    if (found != caller_queues_.end() && found->second.waiting.contains(key)) {
        erase(found, key);
    }
}

std::optional<traffic_handle> fair_queue::pop(instant urgent_before)
{
    if (empty()) {
        return std::nullopt;
    }
    const auto found = caller_queues_.find(next_caller(urgent_before));
    auto& queue = found->second;
    const queue_key key = *queue.waiting.begin();
    by_start_tag_.erase({queue.start_tag, found->first});
    virtual_time_ =
        std::max(virtual_time_, by_start_tag_.empty()
                                    ? queue.start_tag
                                    : std::min(queue.start_tag, by_start_tag_.begin()->first));
    ++queue.start_tag;
    by_start_tag_.emplace(queue.start_tag, found->first);
    erase(found, key);
    return key.second;
}

std::size_t fair_queue::size_of(const caller_id& caller) const
{
    const auto found = caller_queues_.find(caller);
    return found == caller_queues_.end() ? 0 : found->second.waiting.size();
}

std::size_t fair_queue::count_ahead(const caller_id& caller, instant deadline) const
{
    const auto found = caller_queues_.find(caller);
    if (found == caller_queues_.end()) {
        return std::min(size(), callers());
    }
    const auto& waiting = found->second.waiting;
    std::size_t ahead = waiting.size();
    std::size_t steps = 0;
    for (auto key = waiting.rbegin(); key != waiting.rend() && key->first > deadline; ++key) {
        --ahead;
        if (++steps == max_steps) {
            break;
        }
    }
    return std::min(size(), (ahead + 1) * callers() - 1);
}

traffic_handle fair_queue::latest_of_largest_queue() const
{
    const auto largest = std::max_element(
        caller_queues_.begin(), caller_queues_.end(), [](const auto& a, const auto& b) {
            return a.second.waiting.size() < b.second.waiting.size();
        });
    return largest->second.waiting.rbegin()->second;
}

caller_id fair_queue::next_caller(instant urgent_before) const
{
    const std::uint64_t limit = by_start_tag_.begin()->first + config::urgent_turns;
    std::size_t steps = 0;
    for (const auto& [key, caller] : by_deadline_) {
        if (key.first > urgent_before || ++steps > max_urgent_steps) {
            break;
        }
        if (caller_queues_.find(caller)->second.start_tag <= limit) {
            return caller;
        }
    }
    return by_start_tag_.begin()->second;
}

void fair_queue::erase(std::map<caller_id, caller_queue>::iterator found, const queue_key& key)
{
    by_deadline_.erase(key);
    found->second.waiting.erase(key);
    if (found->second.waiting.empty()) {
        by_start_tag_.erase({found->second.start_tag, found->first});
        caller_queues_.erase(found);
    }
}

} // namespace cuminmoor
