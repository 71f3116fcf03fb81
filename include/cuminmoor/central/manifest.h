/// \file
/// The operator's configuration: queues, and failure domains that are out of service.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cuminmoor/central/graph_job.h"

namespace cuminmoor::central {

/// A queue: the address to which jobs are submitted, and the settings that apply to them.
struct queue {
    queue_id name;
    std::string host;
    /// Starts and ends with '/'.
    std::string path_prefix;
    service_id service;
    /// Lower values are served first.
    std::int32_t priority{0};
    std::uint32_t max_attempts{1};
    /// A job's time objective: `stretch` times the run time along its longest chain of steps, plus
    /// `slack`.
    double stretch{1.0};
    millis slack;
};

struct manifest {
    /// 0: no manifest was read yet.
    std::uint64_t version{0};
    std::vector<queue> queues;
};

/// The operator's current configuration. Manifest versions only increase.
struct operator_configuration {
    manifest newest;
    std::set<failure_domain_id> out_of_service;
};

/// \return the queue of that host with the longest prefix of `path`, or null.
const queue* find_queue(const manifest& m, std::string_view host, std::string_view path);

/// \return the queue with that name, or null.
const queue* find_queue(const manifest& m, const queue_id& name);

} // namespace cuminmoor::central
