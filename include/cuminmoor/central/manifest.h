/// \file
/// The operator's configuration: queues, services, and failure domains that are out of service.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cuminmoor/central/graph_job.h"

namespace cuminmoor::central {

/// Where jobs are handed in, and how they are treated.
struct queue {
    queue_id name;
    std::string host;
    /// Begins and ends with '/'.
    std::string path_prefix;
    service_id service;
    /// 0 goes first.
    std::int32_t priority{0};
    std::uint32_t max_attempts{1};
    /// The objective of a job: `stretch` times its longest chain of work, and `slack` more.
    double stretch{1.0};
    millis slack;
};

struct manifest {
    /// 0: none was read yet.
    std::uint64_t version{0};
    std::vector<queue> queues;
};

/// What the operator has in force. Versions of the manifest only rise.
struct operator_configuration {
    manifest newest;
    std::set<failure_domain_id> out_of_service;
};

/// \return the queue of that host with the longest prefix that `path` begins with, or null.
const queue* find_queue(const manifest& m, std::string_view host, std::string_view path);

/// \return the queue of that name, or null.
const queue* find_queue(const manifest& m, const queue_id& name);

} // namespace cuminmoor::central
