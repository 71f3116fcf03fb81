/// \file
/// Waiting for long operations, with progress on standard error.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "command_table.h"

namespace cuminmoor::ctl {

/// What one look at the operation showed.
struct wait_step {
    /// Set when the operation has ended.
    std::optional<exit_code> ended;
    /// One line for people; printed when it changes.
    std::string progress;
};

/// Looks again and again until the operation has ended or `session::wait_limit` has passed.
/// \return `exit_code::wait_expired` in the latter case.
exit_code wait_until_ended(const session& s, const std::function<wait_step()>& look);

/// Waits until every task of the job has ended.
exit_code wait_for_job(const session& s, const std::string& job);

/// Waits until every live entry VM is at this version of the configuration, or newer.
exit_code wait_for_version(const session& s, std::int64_t version);

/// Waits until the failure domain's scheduler holds no task on any worker.
exit_code wait_for_drained_domain(const session& s, const std::string& failure_domain);

} // namespace cuminmoor::ctl
