/// \file
/// Decisions that may be taken in more than one way, behind interfaces.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "cuminmoor/configuration.h"
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
    /// Learned: by how much the tail latencies of the services there, or of the task itself when it
    /// is latency-critical, would rise; 0.1 is 10 %.
    double predicted_rise{0};
};

/// What a preset sets, all at once.
struct policy_parameters {
    /// A batch task waits rather than raise tail latencies by more than this in sum; 0.1 is 10 %.
    double max_rise{0};
};

policy_parameters parameters_of(preset p);

/// A task that is to be placed.
struct placement_request {
    const job_spec& job;
    policy_parameters parameters;
    /// Some task of the same class runs in the failure domain.
    bool is_class_running{false};
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

    /// \param candidates every one has room for the task; never empty.
    /// \return index into `candidates`, or nothing when it is better to wait.
    [[nodiscard]] virtual std::optional<std::size_t>
    choose(const placement_request& request,
           const std::vector<placement_candidate>& candidates) const = 0;
};

/// The baseline: the first candidate that fits.
class first_fit_placement final : public placement_policy {
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(const placement_request& request,
           const std::vector<placement_candidate>& candidates) const override;
};

/// Avoids learned interference; among equals it is first fit. Batch work waits rather than hurt
/// services much, but a class is never shut out: one task of it may run anywhere.
class interference_aware_placement final : public placement_policy {
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(const placement_request& request,
           const std::vector<placement_candidate>& candidates) const override;
};

/// The policies in use.
struct policy_set {
    std::unique_ptr<placement_policy> placement;
    /// Teams take turns by weighted dominant share and keep to their quotas; otherwise batch tasks
    /// start in the order of admission.
    bool uses_fair_share{false};
};

/// \return the policies that the daemon uses.
policy_set make_policies();

/// \return the baseline set.
policy_set make_first_fit_policies();

} // namespace cuminmoor
