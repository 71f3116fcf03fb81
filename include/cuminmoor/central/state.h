/// \file
/// State of one entry VM under central scheduling, all of it in memory.
///
/// Every entry VM answers callers; the one that holds the lease schedules. What must last is in the
/// store: jobs, how far they are, the lease. What runs where is known by the runners, and a new
/// holder of the lease asks them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cuminmoor/central/config.h"
#include "cuminmoor/central/event.h"
#include "cuminmoor/central/graph_job.h"
#include "cuminmoor/central/manifest.h"
#include "cuminmoor/central/page_size.h"

namespace cuminmoor::central {

/// Who this process is, and the deployment's figures; from its settings.
struct identity {
    vm_id vm;
    failure_domain_id failure_domain;
    /// Where peers reach it, "ip:port".
    std::string address;
    /// Differs with each start of the process.
    std::uint64_t incarnation{0};
    /// Longest lease that a runner grants.
    millis max_hold{10'000};
    /// How long the store shows an ended job at least.
    millis keep_ended{120'000};
    vm_capacity capacity;
};

/// Number of an image in `scheduler_state::images`.
using image_number = std::uint32_t;

// ---- Jobs ----------------------------------------------------------------------------------

enum class run_phase : std::uint8_t {
    /// The order is on its way.
    starting,
    running,
    /// Is to end: its stop is ordered or was carried out.
    stopping,
};

/// One start of a task on a runner, from the order until it certainly runs no longer.
struct run {
    runner_id runner;
    run_number number;
    run_phase phase{run_phase::starting};
    instant ordered_at;
    /// The order to start it has not been answered.
    bool start_in_flight{false};
    /// The runner may have begun a new life since the order: an answer proves nothing.
    bool runner_may_have_restarted{false};
    /// A stop is on its way to the runner.
    bool stop_in_flight{false};
    /// When to order the stop again after it was not confirmed.
    instant stop_retry_at;
    /// Number of the last hold sent before the runner confirmed the stop; 0: not confirmed. A later
    /// hold that does not list the run proves that it is gone.
    std::uint64_t stop_confirmed_at_hold{0};
    /// Number of the last hold sent before the start was confirmed; 0: not confirmed. A later hold
    /// must list the run.
    std::uint64_t start_confirmed_at_hold{0};
    /// Share of its speed that the runner was last told.
    std::uint32_t pace{100};
    /// See `reported_run::load`.
    std::int64_t load{0};
    /// Share of its work that it has done, in percent.
    std::uint32_t progress{0};
};

enum class task_status : std::uint8_t { blocked, ready, active, done };

struct task_record {
    task_status status{task_status::blocked};
    /// Ends by the task's own fault that count as attempts.
    std::uint32_t failures{0};
    /// Runs whose failures were counted: each counts once, however often and late it is reported.
    std::vector<run_number> failed_runs;
    /// Where it failed last.
    runner_id failed_on;
    /// Highest number given or seen.
    run_number last_run;
    std::string checkpoint;
    /// A runner has reported it running in this term, or it was started in this term, or it could
    /// not start earlier: no run of it is left where nobody has looked yet.
    bool is_reconciled{false};
    /// Set exactly while `status` is active, or while a stopped run of a job that is over ends.
    std::optional<run> current_run;
};

struct step_record {
    std::vector<task_record> tasks;
    std::uint32_t unfinished{0};
    /// Tasks that are ready; mirrors `tasks`.
    std::uint32_t ready{0};
    /// Steps of `after` that are not finished.
    std::uint32_t waits_for{0};
};

/// One repetition of a job; jobs without a schedule have one.
struct occurrence_record {
    /// Wall-clock time when it may begin, since the epoch.
    millis due;
    bool begun{false};
    std::vector<step_record> steps;
    std::uint32_t unfinished_steps{0};
};

/// How much of a job is in the store.
enum class stored_part : std::uint8_t { nothing, job, job_and_progress };

struct job_record {
    graph_job spec;
    /// Image of each step, once the job is being worked on.
    std::vector<image_number> images;
    /// Treatment in force when it was last looked up in the manifest.
    queue treatment;
    std::vector<occurrence_record> occurrences;
    std::uint32_t unfinished_occurrences{0};
    job_state state{job_state::queued};
    /// What callers are shown; follows `state` once the store has it.
    job_state shown{job_state::queued};
    stored_part stored{stored_part::nothing};
    /// True while a change waits in `commit_state::waiting`.
    bool dirty{false};
    /// Number of its newest change; see `commit_state::stored_change`.
    std::uint64_t last_change{0};
    /// It was in the store when this term began: a task of it may run where nobody has looked yet.
    bool recovered{false};
    instant submitted_at;
    /// Tasks whose `current_run` is set.
    std::uint32_t active_runs{0};
    /// Since when none is; valid while `active_runs` is 0.
    instant idle_since;
    /// The objective's end; less is more urgent.
    instant due_at;
    /// When it ended; valid once `state` is completed, failed or cancelled.
    instant ended_at;
    /// Calls to answer when the change they wait for is stored.
    std::vector<call_handle> submitters;
    std::vector<call_handle> cancellers;

    [[nodiscard]] bool is_over() const
    {
        return state == job_state::completed || state == job_state::failed ||
               state == job_state::cancelled;
    }
};

struct id_hash {
    std::size_t operator()(const job_id& id) const { return std::hash<std::string>{}(id.value); }
};

/// A step with ready tasks, in the order in which steps are served.
struct ready_key {
    std::int32_t priority{0};
    instant due_at;
    job_id job;
    std::uint32_t occurrence{0};
    std::uint32_t step{0};

    auto operator<=>(const ready_key&) const = default;
};

// ---- Runners -------------------------------------------------------------------------------

/// A reading of a runner's clock: it showed at least `shown` when we saw it at `seen_at`.
struct clock_sample {
    remote_instant shown;
    instant seen_at;
};

/// A run that is only to be stopped.
struct orphan_run {
    run_number number;
    bool stop_in_flight{false};
    instant stop_retry_at;
    /// See `run::stop_confirmed_at_hold`.
    std::uint64_t stop_confirmed_at_hold{0};
};

struct runner_record {
    runner_entry entry;
    /// False once the register no longer lists it.
    bool listed{true};
    /// The store has it among the used runners; nothing starts there before.
    bool stored{false};
    /// It has answered a hold of this term, and answers still.
    bool is_responsive{false};
    /// It has answered a hold of this term: it takes no order of an earlier one.
    bool is_fenced{false};
    std::optional<clock_sample> clock;
    /// All leases there have expired at this time of ours at the latest.
    instant leases_expire_by;
    /// Processor, memory and accelerators of all runs there.
    resources reserved;
    /// Processor time that runs want which use only what is left over.
    std::int64_t leftover_milli_cores{0};
    /// Processors declared by tasks of services there, in all and by image.
    std::int64_t service_milli_cores{0};
    std::map<image_number, std::int64_t> service_milli_cores_by_image;
    /// Expected rise of its services' tail latency, in percent of their target, by tasks at full
    /// speed that use leftover processors: by those that disturb little, and by the others. Of all
    /// images of services there, the one that suffers most counts.
    double benign_latency_rise{0};
    double antagonist_latency_rise{0};
    /// Rise that its services bear at present.
    double latency_rise_budget{0};
    std::set<graph_task_id> runs;
    /// Runs there that belong to no task of ours any more; nothing is placed until they are gone.
    std::map<graph_task_id, orphan_run> orphans;
    /// No stop there that failed is to be ordered again before.
    instant next_stop_retry_at{never};

    bool hold_in_flight{false};
    std::uint64_t holds_sent{0};
    instant next_hold_at;
    std::uint32_t holds_failed{0};
    /// Highest end that was worked in.
    std::uint64_t last_processed_end{0};
    /// Highest end whose consequences are stored.
    std::uint64_t acknowledged{0};
    /// Acknowledgement that the runner has certainly taken. It is not repeated, so that a new life,
    /// which counts its ends anew, does not take it for its own.
    std::uint64_t acknowledgement_delivered{0};
    /// The one in the hold that is on its way.
    std::uint64_t acknowledgement_sent{0};
    /// The change that the end `last_end` made; see `commit_state::stored_change`.
    std::uint64_t last_processed_end_change{0};

    std::uint32_t failures_in_a_row{0};
    instant avoided_until;

    /// Speed of the runs there that disturb services much, and of those that disturb them little.
    std::uint32_t antagonist_pace{100};
    std::uint32_t benign_pace{100};
    instant latency_rise_budget_changed_at;
    /// Since when a service there has missed its target; nothing while none does.
    std::optional<instant> disturbed_since;
};

/// How much tasks of one image disturb services of another, as learned from reports.
struct disturbance_estimate {
    /// Logarithm of the odds that the neighbour disturbs the service; 0: as likely as not.
    double log_odds{0};
    /// Reports that it was learned from.
    std::uint32_t reports{0};
};

/// What is known of disturbance; a successor goes on from what the store has of it.
struct disturbance_model {
    std::map<std::string, image_number> images;
    /// By the service's image and its neighbour's: square, as large as `images`.
    std::vector<std::vector<disturbance_estimate>> estimates;
    /// Share of its target that a service's tail takes when nothing disturbs it, in percent.
    double baseline_latency_percent{config::initial_baseline_latency_percent};
};

// ---- Store ---------------------------------------------------------------------------------

/// The scheduler's lease as its row says.
struct lease_row {
    std::string holder;
    std::string address;
    std::uint64_t incarnation{0};
    term_number term;
    /// The holder gave it up: it may be taken at once.
    bool released{false};
};

enum class role : std::uint8_t {
    follower,
    /// Reads the newest commit before it claims the lease.
    reading_head,
    claiming,
    /// Holds the lease and reads the jobs.
    loading,
    scheduler,
};

struct lease_state {
    role now{role::follower};
    /// The row as last seen; nothing: absent, or not read yet.
    std::optional<lease_row> row;
    row_version version{0};
    bool was_read{false};
    /// When the row's present version was first seen, or the store came back.
    instant seen_at;
    /// When the previous holder's row was first seen: it has not renewed since.
    instant predecessor_seen_at;
    /// When the last renewal that succeeded was sent.
    instant renewed_at;
    instant renewal_sent_at;
    bool renewal_in_flight{false};
    /// The commit in flight gives the lease up.
    bool release_in_flight{false};
    /// Number of the newest commit of the row; answers to earlier ones mean nothing any more.
    std::uint64_t last_commit{0};
    instant retry_at;
    term_number term;
    bool releasing{false};
    /// When this VM last won it.
    instant won_at;
};

/// Which VMs there are, as far as this one knows.
struct membership_state {
    /// What each VM can carry, by its row in the store. VMs that are gone stay in it.
    std::map<vm_id, vm_capacity> capacities;
    bool write_in_flight{false};
    instant write_again_at;
    /// When each VM last passed a call on to this one.
    std::map<vm_id, instant> heard_at;
};

/// The commit on its way.
struct open_commit {
    rows_commit body;
    /// Jobs in it, each with the state that it stores.
    std::vector<std::pair<job_id, job_state>> jobs;
    std::vector<job_id> removed;
    std::vector<runner_id> runners;
    std::vector<runner_id> removed_runners;
    /// All changes up to this one are stored when it succeeds.
    std::uint64_t covers{0};
    /// It was refused, and waits to be sent again.
    bool refused{false};
    /// An earlier sending of it may still be carried out.
    bool maybe_late{false};
    /// True while its outcome is being looked up.
    bool in_doubt{false};
};

struct commit_state {
    row_version head_version{0};
    std::uint64_t last_number{0};
    std::optional<open_commit> open;
    /// Counts changes to jobs.
    std::uint64_t last_change{0};
    /// All changes up to this one are in the store.
    std::uint64_t stored_change{0};
    /// Jobs that changed, each with its first change that is not in a commit yet; oldest first.
    std::deque<std::pair<job_id, std::uint64_t>> waiting;
    instant sent_at;
    /// Rows of forgotten jobs to remove.
    std::vector<job_id> to_remove;
    /// Runners to add to the used ones, and to take out.
    std::vector<runner_id> runners_to_add;
    std::vector<runner_id> runners_to_remove;
    instant retry_at;
    /// Since when commits have been failing; nothing while they do not.
    std::optional<instant> failing_since;
};

/// A table that is read page by page.
struct table_reading {
    std::map<std::string, std::string> rows;
    std::string next_from;
    bool is_whole{false};
    bool in_flight{false};
    /// When the page that is in flight was asked for.
    instant asked_at;
    instant retry_at;
};

/// What a new holder of the lease reads: one table after the other, one page at a time.
struct loading_state {
    /// When the lease was won or the last page came.
    instant progressed_at;
    page_size page;
    table_reading jobs;
    table_reading progress;
    table_reading used_runners;
    table_reading disturbance;
};

/// What only the holder of the lease has.
struct scheduler_state {
    std::unordered_map<job_id, job_record, id_hash> jobs;
    std::map<runner_id, runner_record> runners;
    std::set<ready_key> ready;
    /// Accepted jobs of each queue without a task that was started.
    std::map<queue_id, std::uint64_t> pending;
    commit_state commits;
    loading_state loading;
    disturbance_model learned_disturbance;
    /// When a commit last took it along.
    instant disturbance_stored_at;
    bool register_known{false};
    /// Until then, or until all runners have answered, tasks of recovered jobs wait.
    instant recovery_ends_by;
    bool recovering{false};
    /// Occurrences of schedules that are not due yet, by their wall-clock time.
    std::set<std::tuple<std::int64_t, job_id, std::uint32_t>> timed;
    /// A task or some room was gained since the last placement.
    bool placement_due{false};
    /// A step became ready since the last placement.
    bool has_new_ready{false};
    instant last_placement_at;
    /// Runners that were weighed for a task, since the lease was won.
    std::uint64_t runners_scored{0};
    /// Runs that were looked at for a stop to order again, since the lease was won.
    std::uint64_t stop_retry_checks{0};
    instant last_relocation_at;
    /// Calls that came before the jobs were read.
    std::vector<std::pair<call_handle, job_call>> deferred;
    instant next_cleanup_at;
};

// ---- Entry ---------------------------------------------------------------------------------

/// A caller's or peer's call that is not answered yet.
struct open_call {
    job_call call;
    bool from_peer{false};
    instant opened_at;
    instant answer_by;
    /// True while a peer works on it.
    bool passed_on{false};
    /// The peer that it was passed on to last.
    std::string tried_address;
    /// A peer may have taken it in.
    bool maybe_taken{false};
    instant retry_at;
};

struct central_state {
    identity self;
    operator_view operators;
    bool manifest_read{false};
    bool store_is_reachable{false};
    instant store_back_at;
    lease_state lease;
    membership_state members;
    scheduler_state scheduler;
    std::map<call_handle, open_call> calls;
    bool stopping{false};
    instant stop_by;
    /// Nothing is open any more, and what comes is answered at once.
    bool stop_reported{false};
    /// When the reducer wants to be called again at the latest.
    instant wake_at{never};
};

/// Applies one event.
/// \param wall time of day since the epoch; only schedules look at it.
/// \return what is to be done, in order.
effects reduce(central_state& s, const event& e, instant now, millis wall);

} // namespace cuminmoor::central
