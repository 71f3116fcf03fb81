/// \file
/// A worker in memory, for tests: starts what it is given, and reports.
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
    /// Work done, checkpointed work included, and work to do.
    millis progress;
    millis length;
};

using attempt_key = std::pair<task_id, std::uint32_t>;

class fake_worker {
public:
    resources capacity{64'000, 250'000, 0};
    std::string rack{"r1"};
    std::uint32_t incarnation{1};
    /// This worker's clock minus the test's.
    millis clock_offset;
    instant lease_end;
    bool fails_all_attempts{false};
    std::map<attempt_key, fake_attempt> attempts;

    /// Lets the tasks run until `now`.
    void run_until(instant now);
    /// Handles one exchange at `now`.
    worker_report handle(const worker_sync& sync, instant now);
    /// The worker did nothing until `now`; its leases may have ended meanwhile.
    void resume_at(instant now);
    /// All tasks and memory are lost.
    void restart(instant now);

private:
    void execute(const worker_order& order, instant now);
    void start(const start_order& order, instant now);
    [[nodiscard]] worker_report report(instant now) const;

    instant simulated_until_;
};

} // namespace cuminmoor::scenario
