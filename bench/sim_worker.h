/// \file
/// A simulated worker: runs what it is given, with interference between what shares it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "cuminmoor/worker.h"
#include "workload.h"

namespace cuminmoor::bench {

/// What the workers did, summed over a run.
struct work_totals {
    /// Seconds by p99 relative to the base, in steps of a tenth; the last step holds all above.
    std::map<int, double> p99_seconds;
    /// Processor seconds of batch progress by second of the run.
    std::map<std::int64_t, double> batch_progress;
    std::map<std::string, double> team_progress;
    std::uint64_t overcommitted{0};
};

class sim_worker {
public:
    sim_worker(const workload& load, work_totals& totals) : load_{load}, totals_{totals} {}

    rack_id rack;
    bool fails_everything{false};
    resources capacity{64'000, 250'000, 0};

    worker_report handle(const worker_sync& sync, instant now);

private:
    struct attempt {
        resources size;
        const task_truth* truth{nullptr};
        task_status status{task_status::running};
        std::string checkpoint;
        double progress_ms{0};
        double throttle{1};
        double p99_us{base_p99_us};
    };
    using key = std::pair<task_id, std::uint32_t>;

    void run_until(instant now);
    /// Relative rise of the service's p99 by its neighbours.
    [[nodiscard]] double interference_on(const task_truth& service) const;
    void run_service(attempt& a, double slow_down, double seconds, instant now);
    void run_batch(attempt& a, double slow_down, double seconds);
    void execute(const worker_order& order, instant now);
    void start(const start_order& order, instant now);
    [[nodiscard]] worker_report report(instant now) const;

    const workload& load_;
    work_totals& totals_;
    std::map<key, attempt> attempts_;
    instant ran_until_;
};

} // namespace cuminmoor::bench
