/// \file
/// The scheduler's parts, one source file each, and what they share during one step.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "context.h"
#include "cuminmoor/config.h"
#include "cuminmoor/job.h"
#include "cuminmoor/store.h"

namespace cuminmoor {

/// What the next commit will hold. Decided on the committed ledger, so at most one record touches a
/// task, and shares that are freed in it count as held.
struct commit_draft {
    std::vector<ledger_record> records;
    /// Preconditions and writes besides the lease row and the log row.
    transaction extra;
    std::set<task_id> changed_tasks;
    /// Jobs admitted or cancelled in this draft.
    std::set<job_id> changed_jobs;
    /// Shares that it assigns.
    std::map<vm_id, resources> assigned_sizes;
    bool has_assignments{false};
    bool consumes_inbox_rows{false};
    /// See `pending_commit`.
    log_index checkpoint;
    log_index trimmed_to;
    std::vector<job_id> summarized;

    [[nodiscard]] bool is_empty() const { return records.empty() && extra.writes.empty(); }
    [[nodiscard]] bool is_full() const { return records.size() >= config::max_records_per_commit; }
    /// \return true when nothing in the draft concerns the task.
    [[nodiscard]] bool is_unchanged(const task_id& id) const
    {
        return !changed_tasks.contains(id) && !changed_jobs.contains(id.job);
    }
    void add(const task_id& id, ledger_record record)
    {
        changed_tasks.insert(id);
        records.push_back(std::move(record));
    }
};

// scheduler_lease.cpp
/// \return true while the lease certainly is ours, `config::lease_margin` kept.
bool is_lease_valid(const context& c);
/// \return when the lease's right to decide ends.
instant lease_decision_end(const scheduler_state& s);
void poll_lease(context& c);
void on_lease_read(context& c, const store_read_done& e);
/// Takes the lease if it is free.
void try_acquire_lease(context& c);
/// Becomes an observer and forgets everything volatile.
void step_down(context& c, const char* reason);
nonce next_nonce(context& c);

// scheduler_commit.cpp
/// Sends the next commit, or retries the pending one, when it is time.
void drive_commit(context& c);
/// Sends a transaction that writes `next` as lease row.
void send_commit(context& c, pending_commit commit);
void on_commit_answer(context& c, const store_committed& e);
/// The lease row was read back to find out what became of the pending commit.
void on_read_back(context& c, const store_read_done& e);
/// \return a back-off that doubles with `tries`, jittered.
millis backoff_delay(context& c, std::uint32_t tries);

// scheduler_recovery.cpp
void drive_recovery(context& c);
void on_recovery_rows(context& c, const store_read_done& e);
void on_recovery_object(context& c, const object_done& e);
std::string log_prefix(const failure_domain_id& fd);
std::string log_key(const failure_domain_id& fd, log_index index);
std::string ledger_pointer_key(const failure_domain_id& fd);
std::string ledger_object_key(const failure_domain_id& fd, log_index index);
/// Applies committed records and notes which jobs' summaries are behind.
void apply_records(context& c, ledger& job_ledger, const std::vector<ledger_record>& records);

// scheduler_checkpoint.cpp
void drive_checkpoint(context& c);
void on_checkpoint_put(context& c, const object_done& e);
void collect_checkpoint(context& c, commit_draft& d);

// scheduler_inbox.cpp
void drive_inbox(context& c);
/// Either step of a scan: the inbox itself, or the summaries of the jobs submitted in it.
void on_inbox_rows(context& c, const store_read_done& e);
void collect_inbox(context& c, commit_draft& d);

// scheduler_evidence.cpp
/// Compares the workers' reports with the ledger.
void collect_attempt_ends(context& c, commit_draft& d);

// scheduler_workers.cpp
void refresh_workers(context& c);
void sync_workers(context& c);
void on_worker_synced(context& c, const worker_synced& e);
/// Exchanges with the worker as soon as possible.
void request_sync(context& c, const vm_id& worker);

// scheduler_drain.cpp
/// Stops what must leave: tasks of a failure domain that is out and of leaving workers; moves
/// tasks.
void collect_drain(context& c, commit_draft& d);

// scheduler_services.cpp
/// Keeps the failure domain's share of each service's latency-critical tasks.
void collect_services(context& c, commit_draft& d);

// scheduler_placement.cpp
/// Chooses which waiting tasks start where.
void collect_placement(context& c, commit_draft& d);

// scheduler_summary.cpp
/// Writes summaries that are behind and forgets jobs that ended long ago.
void collect_summaries(context& c, commit_draft& d);
/// Notes that the job changed.
void schedule_summary(context& c, const ledger& job_ledger, const job_id& job);
/// The jobs' summaries are written.
void clear_due_summaries(scheduler_state& s, const std::vector<job_id>& jobs);

} // namespace cuminmoor
