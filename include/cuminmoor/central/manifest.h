/// \file
/// The operator's configuration: queues, organisations, and failure domains that are out of
/// service.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cuminmoor/central/graph_job.h"

namespace cuminmoor::central {

/// Secret that shows which organisation a call is from; never logged.
using credential = string_id<struct credential_tag>;

/// Settings of an organisation, on whose behalf jobs run.
struct organisation {
    organisation_id name;
    /// Its share of the room, relative to the other organisations, when there is too little for
    /// all.
    double weight{1};
    /// Most that its runs may reserve on all runners together; 0: no limit in that dimension.
    resources quota{};

    bool operator==(const organisation&) const = default;
};

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
    /// Callers need no credential.
    bool is_public{false};
};

struct manifest {
    /// 0: no manifest was read yet.
    std::uint64_t version{0};
    std::vector<queue> queues;
    /// Not set if the deployment has no organisations; then no call needs a credential.
    std::optional<std::vector<organisation>> organisations{};
    /// The organisation of each credential.
    std::map<credential, organisation_id> credentials{};
    /// What the operator should mend in it; it is in force all the same.
    std::vector<std::string> faults{};
    /// Pools of runners, with or without a queue.
    std::set<service_id> services{};
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

/// \return true if the manifest lists the service, or has a queue of it.
bool names_service(const manifest& m, const service_id& name);

/// \return the organisation with that name, or null.
const organisation* find_organisation(const manifest& m, const organisation_id& name);

} // namespace cuminmoor::central
