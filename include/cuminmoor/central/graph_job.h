/// \file
/// Jobs as their owners declare them: a graph of steps that depend on each other, each with a
/// number of tasks.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "cuminmoor/clock.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/units.h"

namespace cuminmoor::central {

using queue_id = string_id<struct queue_tag>;
using organisation_id = string_id<struct organisation_tag>;
/// One incarnation of a backend server.
using runner_id = string_id<struct runner_tag>;
/// Number of a run, which is one start of a task; later runs have higher numbers.
using run_number = number_id<struct run_number_tag>;
/// Term of the scheduler's lease, sent to runners as the fencing token.
using term_number = number_id<struct term_tag>;

/// A set of identical tasks that become ready together.
struct graph_step {
    std::uint32_t tasks{1};
    resources task_size;
    /// The owner's rough estimate of a task's run time.
    millis run_time;
    /// Indices of the steps that must finish first; each is lower than this step's index.
    std::vector<std::uint32_t> after;
    bool saves_checkpoints{false};
    /// All tasks must run at the same time.
    bool is_gang{false};
    bool same_rack{false};
    /// Several runs of one task may execute in parallel.
    bool allows_copies{false};
    /// The tasks run until the job is cancelled.
    bool is_service{false};
    /// The tasks use only processor time that other tasks leave unused.
    bool uses_leftover{false};
    /// Limit on tasks of the step per runner; 0: no limit.
    std::uint32_t max_per_runner{0};
    /// Number of a service's tasks that may be interrupted at the same time.
    std::uint32_t disruption_budget{0};
    std::string required_label;
    /// Rack that holds the input data; empty: no preference.
    std::string data_rack;
    /// Name of the image. Tasks of one image are assumed to behave alike.
    std::string image;
    /// Target for the tail latency of a service's task; 0: none.
    millis latency_target;
};

/// Repetition of a job. With `count` 0 it runs once, immediately.
struct schedule {
    std::uint32_t count{0};
    /// Wall-clock time of the first occurrence, since the epoch.
    millis first_at;
    millis interval;
};

/// A job as it was submitted; immutable.
struct graph_job {
    job_id id;
    queue_id queue;
    /// The program to run, opaque to the scheduler.
    std::string payload;
    std::vector<graph_step> steps;
    schedule repeats;
};

/// Identifies one task by the job's occurrence, the step, and the index within the step.
struct graph_task_id {
    job_id job;
    std::uint32_t occurrence{0};
    std::uint32_t step{0};
    std::uint32_t index{0};

    auto operator<=>(const graph_task_id&) const = default;
};

enum class job_state : std::uint8_t {
    queued,
    running,
    completed,
    failed,
    cancelled,
    /// Cancelled before its submission arrived, if it ever does. Callers do not see it.
    withdrawn,
};

/// \return true if nothing of the job runs any more.
constexpr bool is_final(job_state state)
{
    return state != job_state::queued && state != job_state::running;
}

} // namespace cuminmoor::central
