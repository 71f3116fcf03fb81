/// \file
/// Weighted dominant-resource fairness among teams.
#include "fair_share.h"

#include <algorithm>

#include "cuminmoor/config.h"

namespace cuminmoor {

namespace {

double ratio(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

bool is_within(std::int64_t held, std::int64_t quota)
{
    return quota == 0 || held <= quota;
}

} // namespace

fair_share_order::fair_share_order(const ledger& book, const configuration& teams,
                                   const resources& total)
    : book_{book}, teams_{teams}, total_{total}
{
    count_held();
    fill_queues();
}

void fair_share_order::count_held()
{
    for (const auto& [worker, tasks] : book_.on_worker) {
        for (const auto& id : tasks) {
            const auto& spec = book_.jobs.at(id.job).spec;
            queues_[spec.team].held += spec.task_size;
        }
    }
}

void fair_share_order::fill_queues()
{
    std::size_t walked = 0;
    for (const auto& key : book_.waiting) {
        if (++walked > config::max_waiting_walked) {
            return;
        }
        if (key.kind == work_class::latency_critical) {
            urgent_.push_back(key);
            continue;
        }
        auto& queue = queues_[book_.jobs.at(key.task.job).spec.team].waiting;
        if (queue.size() < config::max_waiting_examined) {
            queue.push_back(key);
        }
    }
}

double fair_share_order::share_of(const team_id& team, const resources& held) const
{
    const auto entry = teams_.teams.find(team);
    const std::int64_t weight =
        entry == teams_.teams.end() ? 1 : std::max<std::int64_t>(entry->second.weight, 1);
    const double dominant = std::max({ratio(held.milli_cores, total_.milli_cores),
                                      ratio(held.memory_mib, total_.memory_mib),
                                      ratio(held.accelerators, total_.accelerators)});
    return dominant / static_cast<double>(weight);
}

bool fair_share_order::is_within_quota(const team_id& team, const resources& held) const
{
    const auto entry = teams_.teams.find(team);
    if (entry == teams_.teams.end()) {
        return true;
    }
    const auto& quota = entry->second.quota;
    return is_within(held.milli_cores, quota.milli_cores) &&
           is_within(held.memory_mib, quota.memory_mib) &&
           is_within(held.accelerators, quota.accelerators);
}

std::optional<queue_key> fair_share_order::next()
{
    if (!urgent_.empty()) {
        const queue_key key = urgent_.front();
        urgent_.pop_front();
        return key;
    }
    team_state* poorest = nullptr;
    double least = 0;
    for (auto& [team, t] : queues_) {
        while (!t.waiting.empty() &&
               !is_within_quota(
                   team, t.held + book_.jobs.at(t.waiting.front().task.job).spec.task_size)) {
            t.waiting.pop_front();
        }
        const double share = share_of(team, t.held);
        if (!t.waiting.empty() && (poorest == nullptr || share < least)) {
            poorest = &t;
            least = share;
        }
    }
    if (poorest == nullptr) {
        return std::nullopt;
    }
    const queue_key key = poorest->waiting.front();
    poorest->waiting.pop_front();
    return key;
}

void fair_share_order::note_placed(const queue_key& key)
{
    const auto& spec = book_.jobs.at(key.task.job).spec;
    queues_[spec.team].held += spec.task_size;
}

} // namespace cuminmoor
