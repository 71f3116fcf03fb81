/// \file
/// Batch jobs and the durable ledger of one failure domain.
///
/// The ledger is the result of applying all records of the failure domain's log in order. A record
/// is applied only after its transaction is known to be committed, so every decision is based on
/// committed state.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "cuminmoor/clock.h"
#include "cuminmoor/enumerators.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/units.h"

namespace cuminmoor {

enum class work_class : std::uint8_t { batch, latency_critical };

/// Specification of a job, as submitted by its owner.
struct job_spec {
    job_id id;
    team_id team;
    caller_id owner;
    work_class kind{work_class::batch};
    std::uint32_t tasks{1};
    /// Declared resources of each task.
    resources task_size;
    /// Declared run time of each task.
    millis run_time;
    /// Deadline relative to submission; 0: none.
    millis deadline;
    /// Group of similar jobs for which interference is learned; empty: the team's name.
    std::string job_class;
    /// Command to run; opaque to the scheduler.
    std::string command;
};

/// Why an assignment ends before its task has finished.
enum class release_cause : std::uint8_t {
    never_started,
    evicted,
    failed,
    lapsed,
    worker_restarted,
    worker_gone,
    cancelled,
    domain_out,
    /// A task of a service exited; it is restarted.
    service_ended,
};

/// Assignment of an attempt to a worker, on which it runs or may still start.
struct assignment {
    vm_id worker;
    std::string incarnation;
    std::uint32_t attempt{0};
    /// Resources reserved on the worker until the assignment is released.
    resources size;
    /// Deadline on the clock of that incarnation of the worker: the attempt can't start at or after
    /// it.
    remote_instant start_before;
    bool stopping{false};
    /// Why the attempt is being stopped; valid while `stopping`.
    release_cause stop_cause{release_cause::evicted};
};

enum class task_phase : std::uint8_t { waiting, assigned, finished, failed, cancelled, moved };

/// \return the name in stored rows; empty for a value that is no enumerator.
constexpr const char* name_of(task_phase phase)
{
    switch (phase) {
    case task_phase::waiting:
        return "waiting";
    case task_phase::assigned:
        return "assigned";
    case task_phase::finished:
        return "finished";
    case task_phase::failed:
        return "failed";
    case task_phase::cancelled:
        return "cancelled";
    case task_phase::moved:
        return "moved";
    }
    return "";
}

inline constexpr std::size_t task_phase_count{count_enumerators<task_phase>(name_of)};

/// State of one task in the ledger.
struct task_entry {
    task_phase phase{task_phase::waiting};
    /// Attempts assigned so far; the next one is numbered `attempts + 1`.
    std::uint32_t attempts{0};
    std::uint32_t failures{0};
    std::uint32_t evictions{0};
    std::string checkpoint;
    /// Workers on which an attempt failed.
    std::set<vm_id> failed_on;
    /// Set if and only if `phase` is assigned.
    std::optional<assignment> current_assignment;
};

/// Number of tasks in each phase.
struct task_totals {
    std::array<std::uint32_t, task_phase_count> by_phase{};

    [[nodiscard]] std::uint32_t in(task_phase p) const
    {
        return by_phase.at(static_cast<std::size_t>(p));
    }
    std::uint32_t& in(task_phase p) { return by_phase.at(static_cast<std::size_t>(p)); }
    bool operator==(const task_totals&) const = default;
};

struct job_entry {
    job_spec spec;
    bool cancelled{false};
    /// The job keeps `spec.tasks` tasks running indefinitely; tasks with a higher index are being
    /// stopped.
    bool is_service{false};
    /// Order of admission in this failure domain.
    std::uint64_t sequence{0};
    /// Invariant: counts the entries of `tasks` by phase.
    task_totals totals;
    std::uint32_t evictions{0};
    /// Failure domains that tasks were moved to; cancellations are forwarded to them.
    std::set<failure_domain_id> moved_to;
    /// Only the tasks that this failure domain owns; the others are owned by other failure domains.
    std::map<std::uint32_t, task_entry> tasks;
    /// Submission time in seconds since the Unix epoch, for display and for deadlines across VMs.
    std::int64_t submitted_at_s{0};

    /// \return true if no task of the job is waiting or assigned in this failure domain.
    [[nodiscard]] bool has_ended() const
    {
        return totals.in(task_phase::waiting) == 0 && totals.in(task_phase::assigned) == 0;
    }
};

struct job_admitted {
    job_spec spec;
    std::int64_t submitted_at_s{0};
};
/// A task was moved here from another failure domain.
struct task_moved_in {
    job_spec spec;
    std::int64_t submitted_at_s{0};
    task_id task;
    std::uint32_t attempts{0};
    std::string checkpoint;
};
struct task_assigned {
    task_id task;
    std::uint32_t attempt{0};
    vm_id worker;
    std::string incarnation;
    resources size;
    /// Capacity of the worker at the time of the decision; the ledger rejects an assignment that
    /// exceeds it.
    resources capacity;
    /// See `assignment::start_before`.
    remote_instant start_before;
};
struct task_stop_ordered {
    task_id task;
    std::uint32_t attempt{0};
    release_cause cause{release_cause::evicted};
};
struct task_released {
    task_id task;
    std::uint32_t attempt{0};
    release_cause cause{release_cause::evicted};
    std::string checkpoint;
};
struct task_finished {
    task_id task;
    std::uint32_t attempt{0};
};
/// The task failed too often and is not retried.
struct task_failed {
    task_id task;
    std::uint32_t attempt{0};
};
struct task_moved_out {
    task_id task;
    failure_domain_id to;
};
struct job_cancelled {
    job_id job;
};
/// Sets the number of tasks (`spec.tasks`, may be 0) of a service that this failure domain keeps
/// running.
struct service_sized {
    job_spec spec;
};
/// An ended job is removed from the ledger; its summary row is kept.
struct job_forgotten {
    job_id job;
};

using ledger_record = std::variant<job_admitted, task_moved_in, task_assigned, task_stop_ordered,
                                   task_released, task_finished, task_failed, task_moved_out,
                                   job_cancelled, job_forgotten, service_sized>;

/// Queue position: latency-critical before batch, then in order of admission.
struct queue_key {
    work_class kind{work_class::batch};
    std::uint64_t sequence{0};
    task_id task;

    friend bool operator==(const queue_key&, const queue_key&) = default;
    friend bool operator<(const queue_key& a, const queue_key& b)
    {
        if (a.kind != b.kind) {
            return a.kind == work_class::latency_critical;
        }
        return a.sequence != b.sequence ? a.sequence < b.sequence : a.task < b.task;
    }
};

/// Durable state of one failure domain's scheduler.
struct ledger {
    log_index applied;
    std::uint64_t next_sequence{1};
    std::map<job_id, job_entry> jobs;
    /// Index of the waiting tasks in `jobs`.
    std::set<queue_key> waiting;
    /// Resources reserved on each worker, including those of unconfirmed and stopping attempts.
    std::map<vm_id, resources> committed;
    /// Index of the assigned tasks in `jobs`.
    std::map<vm_id, std::set<task_id>> tasks_by_worker;
};

/// Applies one record.
/// \return an error if the record contradicts the ledger, which is then unchanged. The caller
/// continues with the next record; every reader of the log skips the same records.
absl::Status apply_record(ledger& job_ledger, const ledger_record& record);

/// \return the number of tasks assigned to workers.
std::size_t count_assigned(const ledger& job_ledger);
/// \return the task, or null if the ledger does not contain it.
const task_entry* find_task(const ledger& job_ledger, const task_id& id);
/// \return the assignment of the attempt if it is assigned to that worker, or null.
const assignment* find_assignment(const ledger& job_ledger, const task_id& id,
                                  std::uint32_t attempt, const vm_id& worker);

std::string encode_records(const std::vector<ledger_record>& records);
absl::StatusOr<std::vector<ledger_record>> decode_records(const std::string& text);
std::string encode_ledger(const ledger& job_ledger);
absl::StatusOr<ledger> decode_ledger(const std::string& text);
std::string encode_job(const job_spec& spec);
/// Validates every field.
/// \return the job, or an error that names the invalid field and how to correct it.
absl::StatusOr<job_spec> decode_job(const std::string& text);

} // namespace cuminmoor
