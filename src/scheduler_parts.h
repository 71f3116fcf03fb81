/// \file
/// Internal interfaces of the scheduler's modules, one source file each.
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

/// Content of the next commit while it is being collected. All decisions are based on the committed
/// ledger. So a draft has at most one record per task, and resources that it releases still count
/// as reserved.
struct commit_draft {
    std::vector<ledger_record> records;
    /// Preconditions and writes besides the lease row and the log row.
    transaction extra;
    std::set<task_id> changed_tasks;
    /// Jobs admitted, cancelled, resized or removed by this draft.
    std::set<job_id> changed_jobs;
    /// Resources assigned by this draft, by worker.
    std::map<vm_id, resources> assigned_sizes;
    bool has_assignments{false};
    bool consumes_inbox_rows{false};
    /// See `pending_commit`.
    log_index checkpoint;
    log_index trimmed_to;
    std::vector<job_id> summarized;

    [[nodiscard]] bool is_empty() const { return records.empty() && extra.writes.empty(); }
    [[nodiscard]] bool is_full() const { return records.size() >= config::max_records_per_commit; }
    /// \return true if no record in the draft changes the task or its job.
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
/// \return true while this process certainly holds the lease, less `config::lease_margin`.
bool is_lease_valid(const context& c);
/// \return the time at which this process must stop deciding unless the lease is renewed.
instant lease_decision_end(const scheduler_state& s);
void poll_lease(context& c);
void on_lease_read(context& c, const store_read_done& e);
/// Tries to acquire the lease if it is available.
void try_acquire_lease(context& c);
/// Becomes an observer and discards all volatile state.
void step_down(context& c, const char* reason);
nonce next_nonce(context& c);

// scheduler_commit.cpp
/// Sends the next commit, or resends the pending one, when due.
void drive_commit(context& c);
/// Adds the lease row `commit.next` to the transaction and sends it.
void send_commit(context& c, pending_commit commit);
void on_commit_answer(context& c, const store_committed& e);
/// Resolves the outcome of the pending commit from the lease row that was read back.
void on_read_back(context& c, const store_read_done& e);
/// \return an exponential backoff delay for `tries`, with jitter.
millis backoff_delay(context& c, std::uint32_t tries);

// scheduler_recovery.cpp
void drive_recovery(context& c);
void on_recovery_rows(context& c, const store_read_done& e);
void on_recovery_object(context& c, const object_done& e);
std::string log_prefix(const failure_domain_id& fd);
std::string log_key(const failure_domain_id& fd, log_index index);
std::string ledger_pointer_key(const failure_domain_id& fd);
std::string ledger_object_key(const failure_domain_id& fd, log_index index);
/// Applies committed records to the ledger and schedules the summaries of the changed jobs.
void apply_records(context& c, ledger& job_ledger, const std::vector<ledger_record>& records);

// scheduler_checkpoint.cpp
void drive_checkpoint(context& c);
void on_checkpoint_put(context& c, const object_done& e);
void collect_checkpoint(context& c, commit_draft& d);

// scheduler_inbox.cpp
void drive_inbox(context& c);
/// Handles either read of a scan: the inbox rows, or the summary rows of the submitted jobs.
void on_inbox_rows(context& c, const store_read_done& e);
void collect_inbox(context& c, commit_draft& d);

// scheduler_evidence.cpp
/// Compares the workers' reports with the ledger and collects the ends of attempts.
void collect_attempt_ends(context& c, commit_draft& d);

// scheduler_workers.cpp
void refresh_workers(context& c);
void sync_workers(context& c);
void on_worker_synced(context& c, const worker_synced& e);
/// Requests an exchange with the worker as soon as possible.
void request_sync(context& c, const vm_id& worker);

// scheduler_drain.cpp
/// Stops the tasks on leaving workers. If the failure domain is out of service, stops all its tasks
/// and moves the waiting ones to other failure domains.
void collect_drain(context& c, commit_draft& d);

// scheduler_services.cpp
/// Adjusts the number of tasks of each service to this failure domain's share.
void collect_services(context& c, commit_draft& d);

// scheduler_placement.cpp
/// Assigns waiting tasks to workers.
void collect_placement(context& c, commit_draft& d);

// scheduler_summary.cpp
/// Writes the summaries that are due and removes ended jobs after their retention time.
void collect_summaries(context& c, commit_draft& d);
/// Schedules a summary of the job after a change: at once if it has ended, otherwise after
/// `config::summary_period`.
void schedule_summary(context& c, const ledger& job_ledger, const job_id& job);
/// Removes the jobs from the summary queue after their summaries were written.
void clear_due_summaries(scheduler_state& s, const std::vector<job_id>& jobs);

} // namespace cuminmoor
