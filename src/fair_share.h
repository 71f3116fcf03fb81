/// \file
/// Order of the waiting tasks: latency-critical tasks first, then teams by weighted dominant share.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "context.h"

namespace cuminmoor {

/// Yields the waiting tasks in scheduling order.
class waiting_order {
public:
    waiting_order() = default;
    waiting_order(const waiting_order&) = delete;
    waiting_order& operator=(const waiting_order&) = delete;
    waiting_order(waiting_order&&) = delete;
    waiting_order& operator=(waiting_order&&) = delete;
    virtual ~waiting_order() = default;

    /// \return the next task to place, or nothing if none is left.
    virtual std::optional<queue_key> next() = 0;
    /// Reports that the task last returned by `next` was placed.
    virtual void on_placed(const queue_key& key) = 0;
};

/// Baseline order: latency-critical tasks first, then in order of admission.
class admission_order final : public waiting_order {
public:
    /// \param job_ledger must outlive the order.
    explicit admission_order(const ledger& job_ledger)
        : job_ledger_{job_ledger}, next_{job_ledger.waiting.begin()}
    {
    }

    std::optional<queue_key> next() override
    {
        return next_ == job_ledger_.waiting.end() ? std::nullopt : std::optional{*next_++};
    }
    void on_placed(const queue_key& /*key*/) override {}

private:
    const ledger& job_ledger_;
    std::set<queue_key>::const_iterator next_;
};

/// Latency-critical tasks first, then the team with the lowest dominant share divided by its
/// weight. Batch tasks that would exceed their team's quota are skipped.
class fair_share_order final : public waiting_order {
public:
    /// \param job_ledger must outlive the order.
    /// \param teams must outlive the order.
    /// \param total summed capacity of the eligible workers.
    fair_share_order(const ledger& job_ledger, const configuration& teams, const resources& total);

    std::optional<queue_key> next() override;
    void on_placed(const queue_key& key) override;

private:
    struct team_queue {
        resources allocated;
        std::deque<queue_key> waiting;
    };

    void count_allocated();
    void fill_queues();
    [[nodiscard]] double share_of(const team_id& team, const resources& allocated) const;
    [[nodiscard]] bool is_within_quota(const team_id& team, const resources& allocated) const;

    const ledger& job_ledger_;
    const configuration& teams_;
    resources total_;
    std::deque<queue_key> latency_critical_;
    std::map<team_id, team_queue> queues_;
};

} // namespace cuminmoor
