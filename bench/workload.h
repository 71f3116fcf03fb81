/// \file
/// Workload of the policy benchmark: what is submitted when, and the truth behind the declarations.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cuminmoor/clock.h"
#include "cuminmoor/job.h"

namespace cuminmoor::bench {

/// A deployment as its owner describes it.
struct deployment {
    std::string name;
    std::vector<std::string> failure_domains;
    int workers{0};
};

deployment gh_south();
deployment yeongnam();

/// What a job's tasks really do; the scheduler never sees it.
struct task_truth {
    bool is_service{false};
    std::string job_class;
    std::int64_t milli_cores{0};
    millis run_time;
    bool always_fails{false};
};

struct submission {
    instant at;
    job_spec spec;
};

struct workload {
    std::vector<submission> submissions;
    std::map<job_id, task_truth> truth;
    /// Jobs cancelled in one wave.
    std::vector<job_id> cancelled;
    instant cancelled_at;
    /// Relative rise of a service's p99 for each 8 busy cores of a class on the same worker.
    std::map<std::pair<std::string, std::string>, double> interference;
    /// Load of the services from each point in time on; 1 is the ordinary load.
    std::map<instant, double> service_load;

    [[nodiscard]] double load_at(instant t) const;
};

/// p99 of a service alone on its worker, and its target, in microseconds.
inline constexpr double base_p99_us = 5'000;
inline constexpr int service_count = 4;
inline constexpr int class_count = 8;
inline constexpr int team_count = 4;

/// \return the same workload for the same deployment and seed.
workload make_workload(const deployment& d, std::uint64_t seed, millis length);

} // namespace cuminmoor::bench
