/// \file
/// Even turns among callers, by deadline within one.
#include "cuminmoor/fair_queue.h"

#include <algorithm>

#include "cuminmoor/config.h"

namespace cuminmoor {

namespace {

/// Bounds the walks through the queue for one request.
constexpr std::size_t max_steps{64};
constexpr std::size_t max_urgent_steps{8};

} // namespace

void fair_queue::push(const queued_request& r)
{
    auto& own = lanes_[r.caller];
    if (own.waiting.empty()) {
        own.turns = turn_;
        order_.emplace(own.turns, r.caller);
    }
    own.waiting.emplace(r.deadline, r.handle);
    by_deadline_.emplace(place{r.deadline, r.handle}, r.caller);
}

void fair_queue::remove(const queued_request& r)
{
    const auto found = lanes_.find(r.caller);
    const place p{r.deadline, r.handle};
    if (found != lanes_.end() && found->second.waiting.contains(p)) {
        erase(found, p);
    }
}

std::optional<traffic_handle> fair_queue::pop(instant urgent_before)
{
    if (empty()) {
        return std::nullopt;
    }
    const auto found = lanes_.find(next_caller(urgent_before));
    auto& own = found->second;
    const place p = *own.waiting.begin();
    order_.erase({own.turns, found->first});
    turn_ =
        std::max(turn_, order_.empty() ? own.turns : std::min(own.turns, order_.begin()->first));
    ++own.turns;
    order_.emplace(own.turns, found->first);
    erase(found, p);
    return p.second;
}

std::size_t fair_queue::size_of(const caller_id& caller) const
{
    const auto found = lanes_.find(caller);
    return found == lanes_.end() ? 0 : found->second.waiting.size();
}

std::size_t fair_queue::count_ahead(const caller_id& caller, instant deadline) const
{
    const auto found = lanes_.find(caller);
    if (found == lanes_.end()) {
        return std::min(size(), callers());
    }
    const auto& waiting = found->second.waiting;
    std::size_t ahead = waiting.size();
    std::size_t steps = 0;
    for (auto p = waiting.rbegin(); p != waiting.rend() && p->first > deadline; ++p) {
        --ahead;
        if (++steps == max_steps) {
            break;
        }
    }
    return std::min(size(), (ahead + 1) * callers() - 1);
}

traffic_handle fair_queue::last_of_largest() const
{
    const auto largest =
        std::max_element(lanes_.begin(), lanes_.end(), [](const auto& a, const auto& b) {
            return a.second.waiting.size() < b.second.waiting.size();
        });
    return largest->second.waiting.rbegin()->second;
}

caller_id fair_queue::next_caller(instant urgent_before) const
{
    const std::uint64_t limit = order_.begin()->first + config::urgent_turns;
    std::size_t steps = 0;
    for (const auto& [p, caller] : by_deadline_) {
        if (p.first > urgent_before || ++steps > max_urgent_steps) {
            break;
        }
        if (lanes_.find(caller)->second.turns <= limit) {
            return caller;
        }
    }
    return order_.begin()->second;
}

void fair_queue::erase(std::map<caller_id, lane>::iterator found, const place& p)
{
    by_deadline_.erase(p);
    found->second.waiting.erase(p);
    if (found->second.waiting.empty()) {
        order_.erase({found->second.turns, found->first});
        lanes_.erase(found);
    }
}

} // namespace cuminmoor
