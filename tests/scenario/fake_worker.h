/// \file
/// In-memory fake of a worker: executes orders and returns reports.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "cuminmoor/worker.h"

namespace cuminmoor::scenario {

/// One attempt on the worker.
struct fake_attempt {
    resources size;
    task_status status{task_status::running};
    std::string checkpoint;
    /// Run time completed, including that restored from a checkpoint, and total run time.
    millis progress;
    millis length;
};

using attempt_key = std::pair<task_id, std::uint32_t>;

class fake_worker {
public:
    resources capacity{64'000, 250'000, 0};
    std::string rack{"r1"};
    std::uint32_t incarnation{1};
    /// Offset of this worker's clock from the virtual clock.
    millis clock_offset;
    instant lease_end;
    bool fails_all_attempts{false};
    std::map<attempt_key, fake_attempt> attempts;

    /// Simulates the running tasks until `now`.
    void run_until(instant now);
    /// Handles one exchange at `now`.
    worker_report handle(const worker_sync& sync, instant now);
    /// Resumes a frozen worker: no task made progress until `now`, and leases may have expired.
    void resume_at(instant now);
    /// Restarts the worker process, which loses all tasks.
    void restart(instant now);

private:
    void execute(const worker_order& order, instant now);
    void start(const start_order& order, instant now);
    [[nodiscard]] worker_report report(instant now) const;

    instant simulated_until_;
};

} // namespace cuminmoor::scenario
