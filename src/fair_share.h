/// \file
/// Order of the waiting tasks: urgent work first, then teams by weighted dominant share.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "context.h"

namespace cuminmoor {

/// Hands out the waiting tasks one after the other.
class waiting_order {
public:
    waiting_order() = default;
    waiting_order(const waiting_order&) = delete;
    waiting_order& operator=(const waiting_order&) = delete;
    waiting_order(waiting_order&&) = delete;
    waiting_order& operator=(waiting_order&&) = delete;
    virtual ~waiting_order() = default;

    /// \return the next task to try, or nothing when none is left.
    virtual std::optional<queue_key> next() = 0;
    /// The task that `next` returned last was placed.
    virtual void on_placed(const queue_key& key) = 0;
};

/// The baseline: as admitted, urgent work first.
class admission_order final : public waiting_order {
public:
    /// \param book must outlive the order.
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

/// Urgent work first, then the team that holds least in its scarcest dimension, for its weight.
/// Batch tasks of a team that is at its quota are passed over.
class fair_share_order final : public waiting_order {
public:
    /// \param book and \param teams must outlive the order.
    /// \param total what the open workers have in sum.
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
