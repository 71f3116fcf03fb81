/// \file
/// Shares of the room, when there is too little for all: inside a priority, organisations that have
/// less running than their share come first.
///
/// Answers one organisation that sends many times its usual: its excess waits, and the others' jobs
/// do not wait behind it.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

#include "central/context.h"

namespace cuminmoor::central {

/// The order in which a placement round serves the steps with ready tasks.
///
/// An organisation's share is its weight among those that have something running or waiting. Steps
/// of one that has less running than its share come in order of urgency; the others follow, the
/// one with the lowest weighted share first. So what one does not use is left to the others. Jobs
/// without an owner count as within their share.
class step_turns {
public:
    /// \param total capacity of the runners.
    /// \param steps those with ready tasks, by priority and then by urgency; must outlive this.
    step_turns(const context& c, const resources& total, const std::vector<ready_key>& steps);

    /// \return the next step, or null after the last. What has been started since the last call
    /// counts.
    const ready_key* next();
    /// \return true if the step that `next` returned last must wait for the others of its priority
    /// now, as its owner has reached its share; `next` returns it again.
    bool yields();

private:
    /// An organisation's steps that wait until the others of their priority were served.
    struct excess {
        organisation_use* use{nullptr};
        std::queue<const ready_key*> steps;
    };
    /// Weighted share of an organisation in `excess_`, and its index there.
    using excess_turn = std::pair<double, std::size_t>;

    [[nodiscard]] organisation_use* owner_of_step(const ready_key& key) const;
    [[nodiscard]] double weighted_share(const organisation_use& use) const;
    [[nodiscard]] bool has_excess(const organisation_use& use) const;
    void count_weights();
    void postpone(const ready_key& key, organisation_use& use);
    /// \return the next step that need not wait; null where the postponed ones of a priority come.
    const ready_key* next_within_share();
    const ready_key* next_excess();

    const context& c_;
    resources total_;
    const std::vector<ready_key>& steps_;
    std::size_t position_{0};
    double active_weight_{0};
    std::vector<excess> excess_;
    std::unordered_map<const organisation_use*, std::size_t> excess_of_;
    std::priority_queue<excess_turn, std::vector<excess_turn>, std::greater<>> turns_;
    /// The step that `next` has returned, and its owner, unless it has waited for the others.
    const ready_key* current_{nullptr};
    organisation_use* current_owner_{nullptr};
    /// Whose step `next` has returned, unless it was its last.
    std::optional<std::size_t> last_excess_;
};

} // namespace cuminmoor::central
