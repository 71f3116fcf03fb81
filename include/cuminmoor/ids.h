/// \file
/// Strong types for identifiers.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cuminmoor {

/// String identifier; types with different tags do not convert into each other.
template <typename Tag>
struct string_id {
    std::string value;

    auto operator<=>(const string_id&) const = default;
    [[nodiscard]] bool empty() const { return value.empty(); }
};

/// Numeric identifier; types with different tags do not convert into each other.
template <typename Tag>
struct number_id {
    std::uint64_t value{0};

    auto operator<=>(const number_id&) const = default;
};

using vm_id = string_id<struct vm_tag>;
using failure_domain_id = string_id<struct failure_domain_tag>;
using caller_id = string_id<struct caller_tag>;
using team_id = string_id<struct team_tag>;
using service_id = string_id<struct service_tag>;
using job_id = string_id<struct job_tag>;
using request_id = string_id<struct request_tag>;
using rack_id = string_id<struct rack_tag>;
/// Identifies one write. It is stored with the written data, so that a writer whose response was
/// lost can find out by a read whether the write was applied.
using nonce = string_id<struct nonce_tag>;

/// Handle of a request or command that the process's HTTP side keeps open.
using traffic_handle = number_id<struct traffic_handle_tag>;
/// Handle of one dispatch of a request to a backend server.
using dispatch_handle = number_id<struct dispatch_handle_tag>;
/// Version of the configuration. The first version is 1; 0 means that none is known yet.
using config_version = number_id<struct config_version_tag>;
/// Term of a scheduler lease; increases with each change of holder.
using lease_epoch = number_id<struct lease_epoch_tag>;
/// Index of a commit in the scheduler's log.
using log_index = number_id<struct log_index_tag>;

/// One task of a job.
struct task_id {
    job_id job;
    std::uint32_t index{0};

    auto operator<=>(const task_id&) const = default;
};

/// \return "job/index", the task's text form in logs, in keys and on the wire.
inline std::string to_string(const task_id& id)
{
    return id.job.value + "/" + std::to_string(id.index);
}

} // namespace cuminmoor
