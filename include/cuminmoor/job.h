/// \file
/// Batch jobs and the durable ledger of one failure domain.
///
/// The ledger is the fold of the records in the failure domain's log. A record is applied only
/// after the transaction that holds it is known to be committed, so every decision is made on
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
#include "cuminmoor/ids.h"
#include "cuminmoor/units.h"

namespace cuminmoor {

enum class work_class : std::uint8_t { batch, latency_critical };

/// A job as its owner declares it.
struct job_spec {
    job_id id;
    team_id team;
    caller_id owner;
    work_class kind{work_class::batch};
    std::uint32_t tasks{1};
    /// Declared size of each task.
    resources task_size;
    /// Declared run time of each task.
    millis run_time;
    /// Time from submission to deadline; 0: none.
    millis deadline;
    /// Group of like jobs, for learned corrections; empty: the team's name.
    std::string job_class;
    /// What to run, opaque to the scheduler.
    std::string command;
};

/// Why an assignment ended, or is to end, without the task having finished.
enum class release_cause : std::uint8_t {
    never_started,
    evicted,
    failed,
    lapsed,
    worker_restarted,
    worker_gone,
    cancelled,
    domain_out,
    /// A task of a service ended by itself; it is started again.
    service_ended,
};

/// Where an attempt runs, or may run.
struct assignment {
    vm_id worker;
    std::string incarnation;
    std::uint32_t attempt{0};
    /// What the worker's share is charged with until the assignment is released.
    resources size;
    /// On the clock of that incarnation of the worker: from then on the attempt can't begin.
    remote_instant start_before;
    bool stopping{false};
    /// Why it is to stop; valid while `stopping`.
    release_cause stop_cause{release_cause::evicted};
};

enum class task_phase : std::uint8_t { waiting, assigned, finished, failed, cancelled, moved };

/// One task in the ledger.
struct task_entry {
    task_phase phase{task_phase::waiting};
    /// Attempts begun so far; the next assignment gets `attempts + 1`.
    std::uint32_t attempts{0};
    std::uint32_t failures{0};
    std::uint32_t evictions{0};
    std::string checkpoint;
    /// Workers on which an attempt failed.
    std::set<vm_id> failed_on;
    /// Set exactly while `phase` is assigned.
    std::optional<assignment> current_assignment;
};

/// Number of tasks in each phase.
struct task_totals {
    std::array<std::uint32_t, 6> by_phase{};

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
    /// Keeps `spec.tasks` tasks running for ever; tasks with a higher index are on their way out.
    bool is_service{false};
    /// Order of admission in this failure domain.
    std::uint64_t sequence{0};
    /// Mirrors `tasks`.
    task_totals totals;
    std::uint32_t evictions{0};
    /// Failure domains that tasks were moved to; a cancellation is passed on to them.
    std::set<failure_domain_id> moved_to;
    /// Only the tasks that are this failure domain's; others were moved in or out.
    std::map<std::uint32_t, task_entry> tasks;
    /// Wall-clock seconds since the epoch at submission, for people and deadlines across VMs.
    std::int64_t submitted_at_s{0};

    /// \return true when no task of it waits or runs here.
    [[nodiscard]] bool has_ended() const
    {
        return totals.in(task_phase::waiting) == 0 && totals.in(task_phase::assigned) == 0;
    }
};

struct job_admitted {
    job_spec spec;
    std::int64_t submitted_at_s{0};
};
/// A task that comes from another failure domain.
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
    /// What the worker had when this was decided; the ledger refuses to go beyond it.
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
/// Given up: it failed too often.
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
/// The failure domain keeps this many tasks (`spec.tasks`, also 0) of a service running from now
/// on.
struct service_sized {
    job_spec spec;
};
/// An ended job leaves the ledger; its summary row stays.
struct job_forgotten {
    job_id job;
};

using ledger_record = std::variant<job_admitted, task_moved_in, task_assigned, task_stop_ordered,
                                   task_released, task_finished, task_failed, task_moved_out,
                                   job_cancelled, job_forgotten, service_sized>;

/// Place in the queue: latency-critical before batch, then by admission.
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

/// Durable state of one failure domain.
struct ledger {
    log_index applied;
    std::uint64_t next_sequence{1};
    std::map<job_id, job_entry> jobs;
    /// Waiting tasks; mirrors `jobs`.
    std::set<queue_key> waiting;
    /// Sum of the sizes assigned to each worker, unconfirmed and stopping ones included.
    std::map<vm_id, resources> committed;
    /// Assigned tasks by worker; mirrors `jobs`.
    std::map<vm_id, std::set<task_id>> tasks_by_worker;
};

/// Applies one record.
/// \return an error, and leaves the ledger as it was, when the record contradicts the ledger. The
/// caller goes on with the next record: every reader of the log skips the same ones.
absl::Status apply_record(ledger& job_ledger, const ledger_record& record);

/// \return number of tasks that are assigned to workers.
std::size_t count_assigned(const ledger& job_ledger);
/// \return the task, or null when the ledger does not have it.
const task_entry* find_task(const ledger& job_ledger, const task_id& id);
/// \return its assignment when that attempt is assigned to that worker, or null.
const assignment* find_assignment(const ledger& job_ledger, const task_id& id,
                                  std::uint32_t attempt, const vm_id& worker);

std::string encode_records(const std::vector<ledger_record>& records);
absl::StatusOr<std::vector<ledger_record>> decode_records(const std::string& text);
std::string encode_ledger(const ledger& job_ledger);
absl::StatusOr<ledger> decode_ledger(const std::string& text);
std::string encode_job(const job_spec& spec);
/// Checks every field; the error names the field and the fix.
absl::StatusOr<job_spec> decode_job(const std::string& text);

} // namespace cuminmoor
