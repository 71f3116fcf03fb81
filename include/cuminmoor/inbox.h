/// \file
/// Inbox rows, which other processes write for the scheduler of a failure domain, and the job
/// summaries that the scheduler writes.
///
/// Any process may insert an inbox row, with the precondition that the row does not exist. The
/// lease holder deletes the row in the transaction that appends its content to the log.
#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/job.h"

namespace cuminmoor {

/// Content of `fd/<fd>/inbox/job/<job>`.
struct inbox_job {
    job_spec spec;
    /// Wall-clock seconds since the epoch.
    std::int64_t submitted_at_s{0};
    nonce written_by;
};

/// Content of `fd/<fd>/inbox/cancel/<job>`.
struct inbox_cancel {
    job_id job;
    nonce written_by;
};

/// Content of `job/<job>/<fd>`: the tasks of a job in one failure domain, for operators and audits.
struct job_summary {
    job_id job;
    failure_domain_id failure_domain;
    team_id team;
    caller_id owner;
    work_class kind{work_class::batch};
    /// Number of tasks of the job, summed over all failure domains.
    std::uint32_t declared_tasks{0};
    resources task_size;
    millis deadline;
    std::int64_t submitted_at_s{0};
    bool cancelled{false};
    task_totals totals;
    std::uint32_t evictions{0};
};

std::string inbox_job_prefix(const failure_domain_id& fd);
std::string inbox_cancel_prefix(const failure_domain_id& fd);
std::string inbox_move_prefix(const failure_domain_id& fd);
std::string inbox_job_key(const failure_domain_id& fd, const job_id& job);
std::string inbox_cancel_key(const failure_domain_id& fd, const job_id& job);
/// \param attempts number of attempts started so far; distinguishes the keys of repeated moves of
/// the same task.
std::string inbox_move_key(const failure_domain_id& fd, const task_id& task,
                           std::uint32_t attempts);
/// \return the prefix of the keys of all summaries of a job.
std::string job_summary_prefix(const job_id& job);
std::string job_summary_key(const job_id& job, const failure_domain_id& fd);

std::string encode_inbox_job(const inbox_job& submission);
absl::StatusOr<inbox_job> decode_inbox_job(const std::string& text);
std::string encode_inbox_cancel(const inbox_cancel& cancellation);
absl::StatusOr<inbox_cancel> decode_inbox_cancel(const std::string& text);
std::string encode_inbox_move(const task_moved_in& move);
absl::StatusOr<task_moved_in> decode_inbox_move(const std::string& text);

job_summary summarize(const job_entry& job, const failure_domain_id& fd);
std::string encode_job_summary(const job_summary& summary);
absl::StatusOr<job_summary> decode_job_summary(const std::string& text);

} // namespace cuminmoor
