/// \file
/// Exit codes of cuminmoorctl; docs/CTL.md is the table for users.
#pragma once

namespace cuminmoor::ctl {

enum class exit_code : int {
    ok = 0,
    /// Refused or at fault; certainly not run.
    refused = 1,
    /// The command line or the environment is at fault; nothing was sent.
    usage = 2,
    /// Another operator was first, or the name is taken.
    conflict = 3,
    /// Sent, and nobody can tell whether it took effect.
    outcome_unknown = 4,
    /// No entry VM could be reached; nothing was sent.
    unreachable = 5,
    /// The command took effect, but --wait ended before what it waited for.
    wait_expired = 6,
    /// The job ended with failed or cancelled tasks.
    job_not_finished = 7,
    /// A fault of cuminmoor itself.
    internal = 8,
};

} // namespace cuminmoor::ctl
