/// \file
/// Backend servers ordered by load: one list for each number of dispatches in flight.
#include "cuminmoor/backend_pool.h"

#include <algorithm>

namespace cuminmoor {

void backend_pool::assign(const std::map<vm_id, std::int64_t>& allowances)
{
    std::vector<backend> kept;
    for (auto& b : backends_) {
        const auto found = allowances.find(b.id);
        b.allowed = found == allowances.end() ? 0 : found->second;
        b.listed = false;
        if (found != allowances.end() || b.in_flight > 0) {
            kept.push_back(std::move(b));
        }
    }
    backends_ = std::move(kept);
    index_.clear();
    free_.clear();
    for (std::size_t i = 0; i < backends_.size(); ++i) {
        index_[backends_[i].id] = i;
    }
    slots_ = 0;
    for (const auto& [id, allowed] : allowances) {
        slots_ += allowed;
        if (index_.try_emplace(id, backends_.size()).second) {
            backends_.push_back({.id = id, .allowed = allowed});
        }
    }
    for (std::size_t i = 0; i < backends_.size(); ++i) {
        relist(i);
    }
}

std::optional<vm_id> backend_pool::choose(std::uint64_t tie, const vm_id& avoid) const
{
    std::optional<vm_id> last_resort;
    for (const auto& level : free_) {
        if (level.empty()) {
            continue;
        }
        const std::size_t first = tie % level.size();
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

void backend_pool::take(const vm_id& id)
{
    if (const auto i = find(id)) {
        ++backends_[*i].in_flight;
        ++total_in_flight_;
        relist(*i);
    }
}

void backend_pool::release(const vm_id& id)
{
    if (const auto i = find(id)) {
        --backends_[*i].in_flight;
        --total_in_flight_;
        relist(*i);
    }
}

void backend_pool::mark_healthy(const vm_id& id)
{
    if (const auto i = find(id)) {
        backends_[*i].failures = 0;
        relist(*i);
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
    relist(*i);
}

bool backend_pool::end_backoffs(instant now)
{
    bool any = false;
    while (!backoffs_.empty() && backoffs_.begin()->first <= now) {
        const auto i = find(backoffs_.begin()->second);
        backoffs_.erase(backoffs_.begin());
        if (i && backends_[*i].backing_off && backends_[*i].backoff_until <= now) {
            backends_[*i].backing_off = false;
            relist(*i);
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

void backend_pool::list(std::size_t index)
{
    auto& b = backends_[index];
    b.load = static_cast<std::size_t>(b.in_flight);
    if (free_.size() <= b.load) {
        free_.resize(b.load + 1);
    }
    b.position = free_[b.load].size();
    b.listed = true;
    free_[b.load].push_back(index);
}

void backend_pool::unlist(std::size_t index)
{
    auto& b = backends_[index];
    auto& level = free_[b.load];
    level[b.position] = level.back();
    backends_[level[b.position]].position = b.position;
    level.pop_back();
    b.listed = false;
}

void backend_pool::relist(std::size_t index)
{
    const auto& b = backends_[index];
    if (b.listed) {
        unlist(index);
    }
    const std::int64_t limit = b.failures > 0 ? std::min<std::int64_t>(b.allowed, 1) : b.allowed;
    if (b.in_flight < limit && !b.backing_off) {
        list(index);
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
