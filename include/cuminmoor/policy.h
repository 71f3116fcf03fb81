/// \file
/// Interfaces of the scheduling policies and their implementations.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "cuminmoor/configuration.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/job.h"
#include "cuminmoor/units.h"

namespace cuminmoor {

/// A worker with enough free resources for the task.
struct placement_candidate {
    vm_id worker;
    rack_id rack;
    resources capacity;
    /// Resources reserved on the worker, including decisions of the commit being prepared.
    resources committed;
    /// Predicted relative rise of tail latency: summed over the services on the worker for a batch
    /// task, of the task itself if it is latency-critical. 0.1 is 10 %.
    double predicted_latency_rise{0};
};

/// Policy parameters that a preset selects.
struct policy_parameters {
    /// A batch task waits if it would raise tail latencies by more than this in total; 0.1 is 10 %.
    double max_latency_rise{0};
};

policy_parameters parameters_of(preset p);

/// Input of a placement decision for one task.
struct placement_request {
    const job_spec& job;
    policy_parameters parameters;
    /// At least one task of the same class is running in the failure domain.
    bool is_class_running{false};
};

/// Selects the worker for a task.
class placement_policy {
public:
    placement_policy() = default;
    placement_policy(const placement_policy&) = delete;
    placement_policy& operator=(const placement_policy&) = delete;
    placement_policy(placement_policy&&) = delete;
    placement_policy& operator=(placement_policy&&) = delete;
    virtual ~placement_policy() = default;

    /// \param candidates workers with enough free resources for the task; never empty.
    /// \return an index into `candidates`, or nothing if the task should wait.
    [[nodiscard]] virtual std::optional<std::size_t>
    choose(const placement_request& request,
           const std::vector<placement_candidate>& candidates) const = 0;
};

/// Baseline policy: selects the first candidate.
class first_fit_placement final : public placement_policy {
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(const placement_request& request,
           const std::vector<placement_candidate>& candidates) const override;
};

/// Selects the candidate with the lowest predicted latency rise; first fit among equals. Batch work
/// waits if the rise exceeds the preset's limit. To prevent starvation, one task of each class is
/// placed regardless of the limit.
class interference_aware_placement final : public placement_policy {
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(const placement_request& request,
           const std::vector<placement_candidate>& candidates) const override;
};

/// The policies in use.
struct policy_set {
    std::unique_ptr<placement_policy> placement;
    /// Batch tasks are ordered by their teams' weighted dominant shares and limited by team quotas;
    /// if false, they are ordered by admission.
    bool uses_fair_share{false};
};

/// \return the policies of the daemon.
policy_set make_policies();

/// \return the baseline policies: first-fit placement in order of admission.
policy_set make_first_fit_policies();

} // namespace cuminmoor
