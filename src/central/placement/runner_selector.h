/// \file
/// Selection of a runner for a task.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "central/context.h"
#include "central/jobs/jobs.h"

namespace cuminmoor::central {

/// \return true if the runner accepts new runs now.
bool is_schedulable(const context& c, const runner_record& r);
/// \return the runners that accept new runs now.
std::vector<runner_record*> schedulable_runners(const context& c);
/// Requirements of a leftover task on a runner.
enum class runner_requirement : std::uint8_t {
    /// Enough spare processor time for nearly full speed, and latency rise within the budget.
    full_speed,
    /// As `full_speed`, and the task is no antagonist of a service there.
    benign,
    /// Memory and some processor time; the task may be throttled.
    best_effort,
};

/// \return true if the runner has the label that the task requires, and serves its queue.
bool meets_label(const runner_record& r, const task_ref& ref);
/// \return true if all but the room on the runner permits the task.
bool meets_constraints(const runner_record& r, const graph_task_id& id, const task_ref& ref);
/// \return true if a schedulable runner can take the task.
bool is_feasible(const context& c, const runner_record& r, const graph_task_id& id,
                 const task_ref& ref, runner_requirement requirement);

/// Selects runners for many tasks in a placement round, in which free capacity only shrinks. Caches
/// rejected task sizes, so that tasks of the same or a larger size are rejected without scoring
/// runners.
class runner_selector {
public:
    explicit runner_selector(const context& c) : c_{c} {}

    /// \param candidates schedulable runners; none of the others is feasible.
    /// \return the feasible runner with the highest score, or null.
    runner_record* select_runner(const std::vector<runner_record*>& candidates,
                                 const graph_task_id& id, const task_ref& ref,
                                 runner_requirement requirement = runner_requirement::full_speed);
    /// \return false if a task of at most the same size was rejected before.
    [[nodiscard]] bool may_fit(const task_ref& ref, runner_requirement requirement) const;

    /// \return the most members of the gang that may fit, according to rejected gangs with members
    /// of at most the same size; `SIZE_MAX` without any.
    [[nodiscard]] std::size_t max_gang_members(const task_ref& ref) const;
    /// \param max_members upper bound of the members that fit at the same time.
    void record_rejected_gang(const task_ref& ref, std::size_t max_members);

private:
    /// All attributes that decide where a task is feasible, except its size. The strings belong to
    /// the task's job, which must outlive the selector.
    using requirement_key = std::tuple<image_number, bool, runner_requirement, std::uint32_t,
                                       std::string_view, std::string_view>;

    [[nodiscard]] requirement_key requirement_key_of(const task_ref& ref,
                                                     runner_requirement requirement) const;
    void record_rejected_size(const task_ref& ref, runner_requirement requirement);

    const context& c_;
    struct rejected_gang {
        resources member;
        std::size_t max_members{0};
    };
    /// Task sizes that no runner could take; none of them fits another.
    std::map<requirement_key, std::vector<resources>> rejected_sizes_;
    std::map<requirement_key, std::vector<rejected_gang>> rejected_gangs_;
};

} // namespace cuminmoor::central
