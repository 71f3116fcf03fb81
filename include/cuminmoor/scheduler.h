/// \file
/// State of the scheduler of one failure domain: its log, its workers, what it is about to commit.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cuminmoor/clock.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/interference.h"
#include "cuminmoor/job.h"
#include "cuminmoor/lease.h"
#include "cuminmoor/worker.h"

namespace cuminmoor {

/// Mechanisms of the protocol. Tests switch one off to show that the checker notices.
struct protocol_switches {
    /// Each commit has the lease row's version as precondition.
    bool fencing{true};
    /// A commit whose outcome is unknown is told from another one by its nonce.
    bool read_back{true};
    /// A start order ends on the worker's clock.
    bool start_validity{true};
    /// Assignments are committed only while the configuration is unchanged.
    bool config_precondition{true};
    /// An attempt is released only when it certainly does not run and can't begin.
    bool positive_evidence{true};
};

/// A worker as last heard of. Not durable: rebuilt from reports.
struct worker_state {
    worker_report last;
    /// When the exchange that brought `last` was sent and ended; bounds the worker's clock.
    instant sent_at;
    instant received_at;
    bool has_report{false};
    /// It reports a running attempt that the ledger does not assign to it.
    bool has_unassigned_attempt{false};
    /// Newest checkpoints that it reported for the attempts assigned to it.
    std::map<task_id, std::string> checkpoints;
    bool sync_in_flight{false};
    /// When the exchange under way was asked for.
    instant sync_requested_at;
    instant next_sync;
    /// Something is to be sent as soon as the exchange under way has ended.
    bool resync_pending{false};
    std::uint32_t failed_syncs{0};
    /// In the platform's list, live or leaving.
    bool listed{true};
    /// Live according to the platform's list, and not leaving according to anyone.
    bool is_schedulable{true};
};

enum class commit_phase : std::uint8_t { in_flight, backing_off, reading_back };

/// A batch of records on its way into the log, or a renewal or change of the lease.
struct pending_commit {
    std::uint64_t token{0};
    commit_phase phase{commit_phase::in_flight};
    /// The lease row that it writes.
    lease_row next;
    std::vector<ledger_record> records;
    /// Kept whole, so that after an unknown outcome exactly the same can be sent again.
    transaction body;
    /// When it was first sent; the lease counts from here.
    instant sent_at;
    instant retry_at;
    std::uint32_t tries{0};
    /// Some attempt may have been applied, or may still be.
    bool maybe_applied{false};
    bool consumes_inbox_rows{false};
    /// Checkpoint that the pointer row names after it, and last log row that it deletes.
    log_index checkpoint;
    log_index trimmed_to;
    /// Jobs whose summaries it writes.
    std::vector<job_id> summarized;
};

/// Rows of the inbox, as last read.
struct inbox_state {
    std::vector<row> rows;
    /// Rows read, but not yet checked for jobs that were here before.
    std::vector<row> unchecked;
    /// Submitted jobs among `rows` that have a summary row: they were admitted before.
    std::set<job_id> already_admitted;
    /// Some range held more rows than were read.
    bool truncated{false};
    /// Number of the token of the scan's step under way; 0: none.
    std::uint64_t scan_token{0};
    instant next_scan;
    /// Grows with each commit that takes rows; an answer of an earlier generation is stale.
    std::uint64_t generation{0};
    std::uint64_t scan_generation{0};
};

/// Reading the ledger back after the lease was acquired.
struct recovery_state {
    /// Number of the token of the step under way; 0: none.
    std::uint64_t token{0};
    instant retry_at;
    std::uint32_t tries{0};
    ledger partial;
    std::vector<row> rows;
    bool truncated{false};
};

/// Putting the ledger into the object store from time to time.
struct checkpoint_state {
    /// Index of the object that the pointer row names.
    log_index published;
    /// Index of the newest object stored; the next commit names it when it is beyond `done`.
    log_index uploaded;
    log_index uploading;
    std::uint64_t upload_token{0};
    /// Log rows up to here are deleted.
    log_index trimmed;
    /// Text put into the log since the newest object, and that object's size.
    std::size_t log_bytes{0};
    std::size_t object_bytes{0};
    instant retry_at;
};

/// Jobs whose summary row is behind.
struct summary_queue {
    struct entry {
        instant due;
        job_id job;

        auto operator<=>(const entry&) const = default;
    };
    /// Earliest first; one entry a job, mirrored in `due_of`.
    std::set<entry> order;
    std::map<job_id, instant> due_of;
};

struct scheduler_state {
    protocol_switches switches;
    lease_state lease;
    ledger job_ledger;
    /// True once the log has been read up to the lease row's `last` in this epoch.
    bool recovered{false};
    instant recovered_at;
    std::map<vm_id, worker_state> workers;
    /// Workers whose last report has not been compared with the ledger.
    std::set<vm_id> unreconciled_workers;
    /// Volatile, as `workers` are.
    interference_model interference;
    summary_queue summaries;
    /// Ended jobs that are still in the ledger, and since when.
    std::map<job_id, instant> ended_jobs;
    /// At most one: the next decision waits until this one is known.
    std::optional<pending_commit> pending;
    instant next_commit;
    /// Commits in a row that the store refused.
    std::uint32_t store_failures{0};
    inbox_state inbox;
    recovery_state recovery;
    checkpoint_state checkpoint;
    /// Rotates the failure domains that tasks are moved to.
    std::uint64_t next_move_target{0};
    std::uint64_t next_token{1};
    std::uint64_t next_nonce{1};
};

} // namespace cuminmoor
