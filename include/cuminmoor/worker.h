/// \file
/// Messages between a scheduler and a worker, independent of the wire format.
///
/// One exchange ("sync") delivers orders, renews the lease of the running tasks and returns a
/// report. Orders are idempotent. The worker keeps an ended task in its report until the scheduler
/// acknowledges the end.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cuminmoor/clock.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/units.h"

namespace cuminmoor {

/// Order: start an attempt of a task.
struct start_order {
    task_id task;
    std::uint32_t attempt{0};
    resources size;
    /// Key of the checkpoint to resume from in the object store; empty: from the beginning.
    std::string checkpoint;
    /// Deadline on the worker's clock; the worker must not start the attempt at or after it.
    remote_instant start_before;
    /// Command to run; opaque to the scheduler.
    std::string command;
};

/// Order: stop an attempt; if `checkpoint` is set, save its progress first.
struct stop_order {
    task_id task;
    std::uint32_t attempt{0};
    bool checkpoint{false};
};

/// Order: limit the task to this share of its processors; 1000 removes the limit.
struct throttle_order {
    task_id task;
    std::uint32_t attempt{0};
    std::uint32_t permille{1'000};
};

/// Order: remove an ended attempt from the report, as its end is committed.
struct acknowledge_order {
    task_id task;
    std::uint32_t attempt{0};
};

using worker_order = std::variant<start_order, stop_order, throttle_order, acknowledge_order>;

enum class task_status : std::uint8_t {
    running,
    finished,
    failed,
    /// Stopped by an order; `checkpoint` names the progress saved.
    stopped,
    /// Stopped by the worker because the task's lease expired.
    lapsed,
};

/// State of one attempt, as reported by its worker.
struct task_report {
    task_id task;
    std::uint32_t attempt{0};
    task_status status{task_status::running};
    /// Object store key of the newest checkpoint; empty: none.
    std::string checkpoint;
    /// Measured usage; lags behind the actual usage.
    resources usage;
    /// Tail latency measured by the task; 0: none.
    std::int64_t p99_us{0};
};

struct worker_report {
    /// Changes whenever the worker process restarts, which loses all its tasks.
    std::string incarnation;
    /// Reading of the worker's clock when it created the report.
    remote_instant clock;
    resources capacity;
    rack_id rack;
    std::vector<task_report> tasks;
};

/// Effect: perform one exchange with a worker.
struct worker_sync {
    vm_id worker;
    /// The worker ignores `orders` if its incarnation differs from this one; empty: any.
    std::string incarnation;
    /// New duration of the lease of all tasks on the worker.
    millis renew_for;
    std::vector<worker_order> orders;
};

/// Event: an exchange ended.
struct worker_synced {
    vm_id worker;
    bool ok{false};
    instant sent_at;
    worker_report report;
};

} // namespace cuminmoor
