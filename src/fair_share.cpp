/// \file
/// Weighted dominant resource fairness (DRF) among teams.
#include "fair_share.h"

#include <algorithm>

#include "cuminmoor/config.h"
#include "dominant_share.h"

namespace cuminmoor {

fair_share_order::fair_share_order(const ledger& job_ledger, const configuration& teams,
                                   const resources& total)
    : job_ledger_{job_ledger}, teams_{teams}, total_{total}
{
    count_allocated();
    fill_queues();
}

void fair_share_order::count_allocated()
{
    for (const auto& [worker, tasks] : job_ledger_.tasks_by_worker) {
        for (const auto& id : tasks) {
            const auto& spec = job_ledger_.jobs.at(id.job).spec;
            queues_[spec.team].allocated += spec.task_size;
        }
    }
}

void fair_share_order::fill_queues()
{
    std::size_t scanned = 0;
    for (const auto& key : job_ledger_.waiting) {
        if (++scanned > config::max_waiting_walked) {
            return;
        }
        if (key.kind == work_class::latency_critical) {
            latency_critical_.push_back(key);
            continue;
        }
        auto& queue = queues_[job_ledger_.jobs.at(key.task.job).spec.team].waiting;
        if (queue.size() < config::max_waiting_examined) {
            queue.push_back(key);
        }
    }
}

double fair_share_order::share_of(const team_id& team, const resources& allocated) const
{
    const auto entry = teams_.teams.find(team);
    const std::int64_t weight =
        entry == teams_.teams.end() ? 1 : std::max<std::int64_t>(entry->second.weight, 1);
    return dominant_share(allocated, total_) / static_cast<double>(weight);
}

bool fair_share_order::is_within_quota(const team_id& team, const resources& allocated) const
{
    const auto entry = teams_.teams.find(team);
    return entry == teams_.teams.end() ||
           cuminmoor::is_within_quota(allocated, entry->second.quota);
}

std::optional<queue_key> fair_share_order::next()
{
    if (!latency_critical_.empty()) {
        const queue_key key = latency_critical_.front();
        latency_critical_.pop_front();
        return key;
    }
    team_queue* next_team = nullptr;
    double lowest_share = 0;
    for (auto& [team, t] : queues_) {
        while (!t.waiting.empty() &&
               !is_within_quota(
                   team,
                   t.allocated + job_ledger_.jobs.at(t.waiting.front().task.job).spec.task_size)) {
            t.waiting.pop_front();
        }
        const double share = share_of(team, t.allocated);
        if (!t.waiting.empty() && (next_team == nullptr || share < lowest_share)) {
            next_team = &t;
            lowest_share = share;
        }
    }
    if (next_team == nullptr) {
        return std::nullopt;
    }
    const queue_key key = next_team->waiting.front();
    next_team->waiting.pop_front();
    return key;
}

void fair_share_order::on_placed(const queue_key& key)
{
    const auto& spec = job_ledger_.jobs.at(key.task.job).spec;
    queues_[spec.team].allocated += spec.task_size;
}

} // namespace cuminmoor
