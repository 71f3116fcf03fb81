/// \file
/// Least-loaded selection: one list of free servers for each number of dispatches in flight.
#include "cuminmoor/backend_pool.h"

#include <algorithm>

namespace cuminmoor {

void backend_pool::assign(const std::map<vm_id, std::int64_t>& limits)
{
    std::vector<backend> kept;
    for (auto& b : backends_) {
        const auto found = limits.find(b.id);
        b.max_in_flight = found == limits.end() ? 0 : found->second;
        b.is_free = false;
        if (found != limits.end() || b.in_flight > 0) {
            kept.push_back(std::move(b));
        }
    }
    backends_ = std::move(kept);
    index_.clear();
    free_by_load_.clear();
    for (std::size_t i = 0; i < backends_.size(); ++i) {
        index_[backends_[i].id] = i;
    }
    slots_ = 0;
    for (const auto& [id, max_in_flight] : limits) {
        slots_ += max_in_flight;
        if (index_.try_emplace(id, backends_.size()).second) {
            backends_.push_back({.id = id, .max_in_flight = max_in_flight});
        }
    }
    for (std::size_t i = 0; i < backends_.size(); ++i) {
        update_free(i);
    }
}

std::optional<vm_id> backend_pool::choose(std::uint64_t tie_breaker, const vm_id& avoid) const
{
    std::optional<vm_id> last_resort;
    for (const auto& level : free_by_load_) {
        if (level.empty()) {
            continue;
        }
        const std::size_t first = tie_breaker % level.size();
        const auto& b = backends_[level[first]];
        if (b.id != avoid) {
            return b.id;
        }
        if (level.size() > 1) {
            return backends_[level[(first + 1) % level.size()]].id;
        }
        last_resort = b.id;
    }
    return last_resort;
}

void backend_pool::acquire(const vm_id& id)
{
    if (const auto i = find(id)) {
        ++backends_[*i].in_flight;
        ++total_in_flight_;
        update_free(*i);
    }
}

void backend_pool::release(const vm_id& id)
{
    if (const auto i = find(id)) {
        --backends_[*i].in_flight;
        --total_in_flight_;
        update_free(*i);
    }
}

void backend_pool::mark_healthy(const vm_id& id)
{
    if (const auto i = find(id)) {
        backends_[*i].failures = 0;
        update_free(*i);
    }
}

void backend_pool::back_off(const vm_id& id, instant until)
{
    const auto i = find(id);
    if (!i) {
        return;
    }
    auto& b = backends_[*i];
    ++b.failures;
    if (b.backing_off && until <= b.backoff_until) {
        return;
    }
    b.backing_off = true;
    b.backoff_until = until;
    backoffs_.emplace(until, id);
    update_free(*i);
}

bool backend_pool::end_backoffs(instant now)
{
    bool any = false;
    while (!backoffs_.empty() && backoffs_.begin()->first <= now) {
        const auto i = find(backoffs_.begin()->second);
        backoffs_.erase(backoffs_.begin());
        if (i && backends_[*i].backing_off && backends_[*i].backoff_until <= now) {
            backends_[*i].backing_off = false;
            update_free(*i);
            any = true;
        }
    }
    return any;
}

std::uint32_t backend_pool::failures(const vm_id& id) const
{
    const auto i = find(id);
    return i ? backends_[*i].failures : 0;
}

std::int64_t backend_pool::in_flight(const vm_id& id) const
{
    const auto i = find(id);
    return i ? backends_[*i].in_flight : 0;
}

void backend_pool::add_to_free(std::size_t index)
{
    auto& b = backends_[index];
    b.load = static_cast<std::size_t>(b.in_flight);
    if (free_by_load_.size() <= b.load) {
        free_by_load_.resize(b.load + 1);
    }
    b.free_position = free_by_load_[b.load].size();
    b.is_free = true;
    free_by_load_[b.load].push_back(index);
}

void backend_pool::remove_from_free(std::size_t index)
{
    auto& b = backends_[index];
    auto& level = free_by_load_[b.load];
    level[b.free_position] = level.back();
    backends_[level[b.free_position]].free_position = b.free_position;
    level.pop_back();
    b.is_free = false;
}

void backend_pool::update_free(std::size_t index)
{
    const auto& b = backends_[index];
    if (b.is_free) {
        remove_from_free(index);
    }
    const std::int64_t limit =
        b.failures > 0 ? std::min<std::int64_t>(b.max_in_flight, 1) : b.max_in_flight;
    if (b.in_flight < limit && !b.backing_off) {
        add_to_free(index);
    }
}

std::optional<std::size_t> backend_pool::find(const vm_id& id) const
{
    const auto found = index_.find(id);
    if (found == index_.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace cuminmoor
