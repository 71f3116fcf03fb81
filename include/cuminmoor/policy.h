/// \file
/// Decisions that may be taken in more than one way, behind interfaces.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "cuminmoor/ids.h"
#include "cuminmoor/job.h"
#include "cuminmoor/units.h"

namespace cuminmoor {

/// A worker that a task could be placed on.
struct placement_candidate {
    vm_id worker;
    rack_id rack;
    resources capacity;
    /// What is committed there, decisions of the same step included.
    resources committed;
};

/// Chooses where a task runs.
class placement_policy {
public:
    placement_policy() = default;
    placement_policy(const placement_policy&) = delete;
    placement_policy& operator=(const placement_policy&) = delete;
    placement_policy(placement_policy&&) = delete;
    placement_policy& operator=(placement_policy&&) = delete;
    virtual ~placement_policy() = default;

    /// \param candidates every one has room for `size`; never empty.
    /// \return index into `candidates`, or nothing when it is better to wait.
    [[nodiscard]] virtual std::optional<std::size_t>
    choose(const job_spec& job, const resources& size,
           const std::vector<placement_candidate>& candidates) const = 0;
};

/// The baseline: the first candidate that fits.
class first_fit_placement final : public placement_policy {
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(const job_spec& job, const resources& size,
           const std::vector<placement_candidate>& candidates) const override;
};

/// The policies in use.
struct policy_set {
    std::unique_ptr<placement_policy> placement;
};

/// \return the baseline set.
policy_set make_first_fit_policies();

} // namespace cuminmoor
