/// \file
/// State of the scheduler of one failure domain: lease, ledger, workers and the commit in progress.
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

/// Safety mechanisms of the protocol. Tests disable one at a time to prove that the invariant
/// checker detects its absence.
struct protocol_switches {
    /// Every commit has the version of the lease row as a precondition.
    bool fencing{true};
    /// After an unknown outcome the lease row is read back; its nonce identifies our own commit.
    bool read_back{true};
    /// A start order expires at a deadline on the worker's clock.
    bool start_validity{true};
    /// Commits with assignments have the version of the configuration head as a precondition.
    bool config_precondition{true};
    /// An attempt is released only on proof that it is not running and can no longer start.
    bool positive_evidence{true};
};

/// Last known state of a worker. Volatile: rebuilt from the reports of the workers.
struct worker_state {
    worker_report last;
    /// Send and receive time of the exchange that returned `last`; they bound the reading of the
    /// worker's clock.
    instant sent_at;
    instant received_at;
    bool has_report{false};
    /// `last` contains a running attempt that the ledger does not assign to this worker.
    bool has_unassigned_attempt{false};
    /// Newest reported checkpoint of each task assigned to this worker.
    std::map<task_id, std::string> checkpoints;
    bool sync_in_flight{false};
    /// When the exchange in progress was requested.
    instant sync_requested_at;
    instant next_sync;
    /// Start another exchange as soon as the one in progress ends.
    bool resync_pending{false};
    /// Consecutive failures.
    std::uint32_t failed_syncs{0};
    /// The platform lists the worker as live or leaving.
    bool listed{true};
    /// The platform lists the worker as live and no entry VM reports it as leaving.
    bool is_schedulable{true};
};

enum class commit_phase : std::uint8_t { in_flight, backing_off, reading_back };

/// The transaction in progress: a batch of log records, or a renewal or change of the lease.
struct pending_commit {
    std::uint64_t token{0};
    commit_phase phase{commit_phase::in_flight};
    /// Lease row written by the transaction.
    lease_row next;
    std::vector<ledger_record> records;
    /// Kept so that an identical transaction can be resent after an unknown outcome.
    transaction body;
    /// When it was first sent; the new lease term starts here.
    instant sent_at;
    instant retry_at;
    std::uint32_t tries{0};
    /// An earlier try has an unknown outcome: it may be applied already or still in transit.
    bool maybe_applied{false};
    bool consumes_inbox_rows{false};
    /// Checkpoint that the pointer row refers to after this commit, and the last log row deleted.
    log_index checkpoint;
    log_index trimmed_to;
    /// Jobs whose summary rows are written.
    std::vector<job_id> summarized;
};

/// Result of the last inbox scan.
struct inbox_state {
    std::vector<row> rows;
    /// Rows read but not yet checked for jobs that were admitted before.
    std::vector<row> unchecked;
    /// Submitted jobs in `rows` that already have a summary row.
    std::set<job_id> already_admitted;
    /// At least one key range has more rows than the scan returned.
    bool truncated{false};
    /// Token of the scan read in progress; 0: none.
    std::uint64_t scan_token{0};
    instant next_scan;
    /// Incremented by each commit that consumes rows. A scan of an earlier generation is stale.
    std::uint64_t generation{0};
    std::uint64_t scan_generation{0};
};

/// Recovery of the ledger after the lease was acquired.
struct recovery_state {
    /// Token of the read in progress; 0: none.
    std::uint64_t token{0};
    instant retry_at;
    std::uint32_t tries{0};
    /// Ledger recovered so far.
    ledger partial;
    std::vector<row> rows;
    bool truncated{false};
};

/// Periodic checkpoints of the ledger in the object store.
struct checkpoint_state {
    /// Index of the checkpoint that the pointer row refers to.
    log_index published;
    /// Index of the newest uploaded checkpoint. The next commit publishes it if it is newer than
    /// `published`.
    log_index uploaded;
    /// Index of the checkpoint being uploaded; valid while `upload_token` is not 0.
    log_index uploading;
    std::uint64_t upload_token{0};
    /// Log rows up to this index are deleted.
    log_index trimmed;
    /// Bytes appended to the log since the newest checkpoint, and the size of that checkpoint.
    std::size_t log_bytes{0};
    std::size_t object_bytes{0};
    instant retry_at;
};

/// Jobs whose summary row is out of date.
struct summary_queue {
    struct entry {
        instant due;
        job_id job;

        auto operator<=>(const entry&) const = default;
    };
    /// Ordered by due time, one entry per job; indexed by `due_of`.
    std::set<entry> order;
    std::map<job_id, instant> due_of;
};

struct scheduler_state {
    protocol_switches switches;
    lease_state lease;
    ledger job_ledger;
    /// True once the log has been applied up to `last` of the lease row of this epoch.
    bool recovered{false};
    instant recovered_at;
    std::map<vm_id, worker_state> workers;
    /// Workers whose last report has not been compared with the ledger yet.
    std::set<vm_id> unreconciled_workers;
    /// Volatile, like `workers`.
    interference_model interference;
    summary_queue summaries;
    /// Ended jobs still in the ledger, with the time at which their end was noticed.
    std::map<job_id, instant> ended_jobs;
    /// At most one commit is in progress: the next decision waits for its outcome.
    std::optional<pending_commit> pending;
    instant next_commit;
    /// Consecutive commits that ended as unavailable or unknown.
    std::uint32_t store_failures{0};
    inbox_state inbox;
    recovery_state recovery;
    checkpoint_state checkpoint;
    /// Round-robin position among the failure domains that tasks are moved to.
    std::uint64_t next_move_target{0};
    std::uint64_t next_token{1};
    std::uint64_t next_nonce{1};
};

} // namespace cuminmoor
