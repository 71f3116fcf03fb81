/// \file
/// Commands from operators and job owners, and their answers.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cuminmoor/configuration.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/job.h"
#include "cuminmoor/result.h"

namespace cuminmoor {

/// Changes the configuration; if `expected` is set, only from that version.
struct change_configuration {
    configuration_change change;
    std::optional<config_version> expected;
};
struct show_configuration {};
struct submit_job {
    job_spec spec;
    /// Target; if empty, this failure domain or, if it is out of service, the first one in service.
    failure_domain_id failure_domain;
    std::int64_t submitted_at_s{0};
};
struct cancel_jobs {
    std::vector<job_id> jobs;
};
struct show_job {
    job_id job;
};
/// Lists at most `limit` jobs whose id has this prefix and sorts after `after`.
struct list_jobs {
    std::string prefix;
    std::string after;
    std::size_t limit{100};
};
struct show_status {};
struct list_vms {};
/// Shows the stored claims of a caller's non-idempotent requests, or the summaries of a team's
/// jobs.
struct show_audit {
    caller_id caller;
    team_id team;
};

using command = std::variant<change_configuration, show_configuration, submit_job, cancel_jobs,
                             show_job, list_jobs, show_status, list_vms, show_audit>;

/// Event: a command was received and validated.
struct command_arrived {
    traffic_handle handle;
    command body;
};

/// Effect: answer a command. `json` is the complete body.
struct command_answer {
    traffic_handle handle;
    result_code code{result_code::ok};
    std::string message;
    std::string json;
};

} // namespace cuminmoor
