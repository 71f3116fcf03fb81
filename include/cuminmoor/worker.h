/// \file
/// What passes between a scheduler and a worker, independent of the wire.
///
/// One exchange ("sync") carries the orders out, renews the lease of what runs, and brings back a
/// report. Orders are idempotent; the worker keeps the end of a task in its report until that end
/// is acknowledged.
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
    /// On the worker's clock: at or after this the worker must not start it.
    remote_instant start_before;
    /// What to run, opaque to the scheduler.
    std::string command;
};

/// Order: stop an attempt; with `checkpoint`, save its progress first.
struct stop_order {
    task_id task;
    std::uint32_t attempt{0};
    bool checkpoint{false};
};

/// Order: let the task use at most this share of its processors; 1000 lifts the throttle.
struct throttle_order {
    task_id task;
    std::uint32_t attempt{0};
    std::uint32_t permille{1'000};
};

/// Order: the end of this attempt is committed, forget it.
struct acknowledge_order {
    task_id task;
    std::uint32_t attempt{0};
};

using worker_order = std::variant<start_order, stop_order, throttle_order, acknowledge_order>;

enum class task_status : std::uint8_t {
    running,
    finished,
    failed,
    /// Stopped on order; `checkpoint` tells what was saved.
    stopped,
    /// Stopped by the worker itself, because its lease lapsed.
    lapsed,
};

/// What a worker says of one attempt.
struct task_report {
    task_id task;
    std::uint32_t attempt{0};
    task_status status{task_status::running};
    /// Newest checkpoint in the object store; empty: none.
    std::string checkpoint;
    /// Measured use, which lags.
    resources usage;
    /// Tail latency that the task measured, 0 when it has none.
    std::int64_t p99_us{0};
};

struct worker_report {
    /// Changes whenever the worker process begins anew with no tasks.
    std::string incarnation;
    /// The worker's clock when it wrote the report.
    remote_instant clock;
    resources capacity;
    rack_id rack;
    std::vector<task_report> tasks;
};

/// Effect: one exchange with a worker.
struct worker_sync {
    vm_id worker;
    /// The worker ignores `orders` when it is another incarnation; empty: any.
    std::string incarnation;
    millis renew_for;
    std::vector<worker_order> orders;
};

/// Event: the exchange ended.
struct worker_synced {
    vm_id worker;
    bool ok{false};
    instant sent_at;
    worker_report report;
};

} // namespace cuminmoor
