/// \file
/// In-memory state of an entry VM under central scheduling.
///
/// Every entry VM answers callers; the one that holds the lease schedules. Durable data is in the
/// store: jobs, their progress and the lease. Runners know their runs, and a new lease holder asks
/// them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cuminmoor/central/config.h"
#include "cuminmoor/central/event.h"
#include "cuminmoor/central/graph_job.h"
#include "cuminmoor/central/manifest.h"
#include "cuminmoor/central/options.h"
#include "cuminmoor/central/page_size.h"

namespace cuminmoor::central {

/// Identity of this process and parameters of the deployment, from the settings.
struct identity {
    vm_id vm;
    failure_domain_id failure_domain;
    /// Address for peers, "ip:port".
    std::string address;
    /// Different for each start of the process.
    std::uint64_t incarnation{0};
    /// Longest lease that a runner accepts.
    millis max_hold{10'000};
    /// Minimum time for which an ended job can be queried.
    millis keep_ended{120'000};
    vm_capacity capacity;
    scheduling_options options;
};

/// Number of an image in `disturbance_model::images`.
using image_number = std::uint32_t;

// ---- Jobs ----------------------------------------------------------------------------------

enum class run_phase : std::uint8_t {
    /// The start is due or ordered, and not confirmed yet.
    starting,
    running,
    /// A stop is due, ordered or confirmed; the run has not certainly ended yet.
    stopping,
};

/// Pace of a run whose last pace order was not confirmed, or was given by an earlier holder of the
/// lease.
inline constexpr std::uint32_t unknown_pace{UINT32_MAX};
/// Pace of a run that is not throttled, in percent.
inline constexpr std::uint32_t full_pace{100};

/// Progress of stopping a run.
struct run_stop {
    /// When the stop was first ordered; valid if `orders` is not 0.
    instant first_ordered_at;
    /// Number of stop orders sent, and of those that are not answered yet.
    std::uint32_t orders{0};
    std::uint32_t unanswered{0};
    /// When to repeat the order unless the stop is confirmed before.
    instant retry_at;
    /// Number of the last hold sent before the runner confirmed the stop; 0: not confirmed. If the
    /// report of a later hold does not list the run, it has ended.
    std::uint64_t confirmed_at_hold{0};
    /// The runner's clock when it confirmed the stop.
    remote_instant confirmed_clock;
};

/// One start of a task on a runner, from the start order until the run has certainly ended.
struct run {
    runner_id runner;
    run_number number;
    run_phase phase{run_phase::starting};
    instant ordered_at;
    /// The start is ordered once the store has it: the place of a service, see
    /// `task_record::placed_on`, or `crash_counts::has_open_run`.
    bool awaits_store{false};
    /// The start order has not been answered.
    bool start_in_flight{false};
    /// The runner may have restarted since the start order, so that a positive answer does not
    /// prove that the run exists.
    bool runner_may_have_restarted{false};
    run_stop stop;
    /// Number of the last hold sent before the start was confirmed; 0: not confirmed. The report of
    /// a later hold must list the run.
    std::uint64_t start_confirmed_at_hold{0};
    /// The runner's clock when it certainly executed the run; empty until then.
    std::optional<remote_instant> started_by;
    /// It was started as a suspect, and nothing else after it for a while; see crashes.cpp.
    bool is_isolated{false};
    /// It has worked for longer than `crash_window`, or was adopted.
    bool has_survived_start{false};
    /// Pace last ordered, in percent of full speed, or `unknown_pace`.
    std::uint32_t pace{full_pace};
    instant paced_at;
    /// See `reported_run::load`.
    std::int64_t load{0};
    /// Completed share of its work, in percent.
    std::uint32_t progress{0};
    /// This holder of the lease started it without a checkpoint, so that its time is a whole run's.
    bool is_fresh{false};
};

enum class task_status : std::uint8_t { blocked, ready, active, done };

/// Runners that crashed soon after they had started a task; see crashes.cpp.
struct crash_counts {
    /// A runner crashed soon after it had started the task, whatever else may explain that.
    bool is_suspect{false};
    /// Crashes that the task may have caused, as no outside cause shows.
    std::uint32_t possible{0};
    /// Of these, crashes that nothing else explains.
    std::uint32_t attributed{0};
    /// A suspect or a service was started, or a runner was lost soon after it had started the task,
    /// and the outcome is not known yet. A successor that finds no such run knows that it was lost.
    /// For services it is not stored, as their place and `task_record::has_survived_there` tell.
    bool has_open_run{false};
    /// Crashes for which it was a suspect under this holder of the lease; not stored.
    std::uint32_t suspected{0};
    /// The task does not start before; not stored.
    std::optional<instant> held_back_until{};
    /// The last runner on which a crash counted for the task, as far as this holder of the lease
    /// knows, and whether another one did, too; not stored.
    runner_id crashed_runner{};
    bool has_crashed_several{false};

    /// \return true if something is counted that a run which survives its start clears.
    [[nodiscard]] bool has_counted() const { return is_suspect || possible > 0 || has_open_run; }
};

/// Bounds the rate at which a service task starts whose runs end by themselves; see restarts.cpp.
struct restart_backoff {
    /// Short runs in a row, see `config::max_restart_interval`.
    std::uint32_t short_runs{0};
    /// The task does not start before.
    instant until;
};

struct task_record {
    task_status status{task_status::blocked};
    /// Failures of the task itself; each counts as an attempt.
    std::uint32_t failures{0};
    /// Runs whose failures are counted in `failures`. Prevents counting a repeated report twice.
    std::vector<run_number> failed_runs;
    /// Runner of its last failed run.
    runner_id failed_on;
    crash_counts crashes;
    /// Of a service task; not stored.
    restart_backoff restarts;
    /// Highest run number assigned or reported.
    run_number last_run;
    /// Of a service task, or with `crash_counts::has_open_run`: the only runner on which it can
    /// run; empty: none. It is in the store before the start is ordered, so that a later holder of
    /// the lease knows whom to ask.
    runner_id placed_on;
    /// Incarnation of that runner for which it was started, see `runner_entry::started_at_ms`; 0:
    /// not known. If the same one answers later, the run has not crashed it.
    std::int64_t placed_incarnation{0};
    /// Of a service task: its run there has survived its start, see crashes.cpp.
    bool has_survived_there{false};
    std::string checkpoint;
    /// No unreported run of an earlier term can remain: a runner reported it running when the
    /// holder before had certainly given its last order, it was started in this term, or it could
    /// not have been started before.
    bool is_reconciled{false};
    /// Of a service task that ran before and has no run: since when, as far as this holder of the
    /// lease knows; not stored.
    std::optional<instant> without_run_since;
    /// Set exactly while `status` is active, or until the stopped run of an ended job has ended.
    std::optional<run> current_run;
};

/// Rejection of a step in a placement round: no runner was feasible for its tasks.
struct step_rejection {
    /// Number of the last such round; 0: none.
    std::uint64_t round{0};
    /// For a gang: upper bound of the members that fit at the same time.
    std::size_t max_members{0};
};

/// Whole runs at full speed that were seen to end, of one kind of task.
struct seen_run_times {
    std::uint32_t runs{0};
    /// Sum of the runs' times as multiples of the owners' estimates.
    double ratio_sum{0};
};

struct step_record {
    std::vector<task_record> tasks;
    std::uint32_t unfinished{0};
    /// Number of ready tasks; always equal to the count in `tasks`.
    std::uint32_t ready{0};
    /// Number of steps in `after` that are not finished.
    std::uint32_t unfinished_dependencies{0};
    /// At full speed, and at best effort for a starved job.
    step_rejection full_speed_rejection;
    step_rejection best_effort_rejection;
    /// Of its own tasks, under this holder of the lease; not stored.
    seen_run_times seen;
    /// Number of the last pass of the waiting services in which no runner was feasible for its
    /// tasks, and in which no room could be kept for one; 0: none.
    std::uint64_t services_rejected_in{0};
    std::uint64_t no_room_kept_in{0};
};

/// Tasks of the same key are expected to be estimated alike: image, and bits of the processor time
/// that a task requests.
using run_time_key = std::pair<image_number, std::uint32_t>;

/// One repetition of a job; jobs without a schedule have exactly one.
struct occurrence_record {
    /// Wall-clock time from which it may start, since the epoch.
    millis due;
    bool is_started{false};
    std::vector<step_record> steps;
    std::uint32_t unfinished_steps{0};
};

/// Which rows of a job are in the store.
enum class stored_part : std::uint8_t { nothing, job, job_and_progress };

struct job_record {
    graph_job spec;
    /// Image number of each step; set when the job's occurrences are started.
    std::vector<image_number> images;
    /// Of each step, see urgency.h; set when first needed.
    std::vector<millis> times_to_end;
    /// Settings of the job's queue, as last read from the manifest.
    queue queue_settings;
    /// The organisation that submitted it, as it was in the manifest then; no name: none.
    organisation owner;
    std::vector<occurrence_record> occurrences;
    std::uint32_t unfinished_occurrences{0};
    /// Most occurrences that may be unfinished at a time after their start, see
    /// `config::max_job_bytes`.
    std::uint32_t max_open_occurrences{1};
    job_state state{job_state::queued};
    /// The state that callers see. An end of the job is published only after the store has it.
    job_state published_state{job_state::queued};
    stored_part stored{stored_part::nothing};
    /// Numbers of rows that its specification and its progress take in the store.
    std::size_t spec_rows{0};
    std::size_t progress_rows{0};
    /// True while the job is in `commit_state::changed_jobs`.
    bool dirty{false};
    /// Number of the job's newest change, and of the newest that is in the store; see
    /// `commit_state::stored_change`.
    std::uint64_t last_change{0};
    std::uint64_t stored_change{0};
    /// The job was loaded from the store at the start of this term: one of its tasks may have a run
    /// that no runner has reported yet.
    bool recovered{false};
    instant submitted_at;
    /// Tasks whose `current_run` is set.
    std::uint32_t active_runs{0};
    /// Since when none is; valid while `active_runs` is 0.
    instant idle_since;
    /// When the job's time objective ends; earlier is more urgent.
    instant deadline;
    /// Valid once `has_ended()`.
    instant ended_at;
    /// Open calls that are answered once the submission or the cancellation is stored.
    std::vector<call_handle> submitters;
    std::vector<call_handle> cancellers;

    [[nodiscard]] bool has_ended() const { return is_final(state); }
};

struct id_hash {
    std::size_t operator()(const job_id& id) const { return std::hash<std::string>{}(id.value); }
};

/// Waits for one reason since the lease was won, and when one was logged last.
struct wait_count {
    std::uint64_t waits{0};
    std::optional<instant> logged_at;
};

/// What an organisation with jobs may have running, and what it has; see quota.cpp.
struct organisation_use {
    /// From the newest known manifest; if that does not list it any more, from the last that did or
    /// from its oldest job.
    organisation settings;
    /// Reserved by its runs until they have certainly ended.
    resources running;
    /// Upper bound of what its runs of earlier terms reserve that no runner has reported.
    resources unreported;
    /// For the quota.
    wait_count quota;
    /// Of steps, as it had its share running.
    wait_count share;
};

struct organisation_hash {
    std::size_t operator()(const organisation_id& id) const
    {
        return std::hash<std::string>{}(id.value);
    }
};

/// Key of a step with ready tasks; sorts in the order in which placement serves steps.
struct ready_key {
    std::int32_t priority{0};
    instant deadline;
    job_id job;
    std::uint32_t occurrence{0};
    std::uint32_t step{0};

    auto operator<=>(const ready_key&) const = default;
};

/// A service task that ran before and has no run, see reservations.cpp.
struct waiting_service {
    /// `scheduler_state::starts` when it began to wait.
    std::uint64_t starts_before{0};
    /// Runner on which room is kept for it, and when it is expected to suffice; empty: none.
    runner_id kept_on;
    instant expected_room_at;
};

/// Room that is kept on a runner for a waiting task of a step, see lookahead.cpp.
struct room_reservation {
    ready_key step;
    /// Of one task.
    resources size;
    instant made_at;
    /// When the runner is expected to have the room.
    instant expected_at;
};

/// What look-ahead has done since the lease was won.
struct lookahead_counts {
    std::uint64_t made{0};
    std::uint64_t used{0};
    std::uint64_t given_up{0};
    /// Starts of other tasks in room that was kept, as they end before.
    std::uint64_t backfilled{0};
};

// ---- Runners -------------------------------------------------------------------------------

/// A reading of a runner's clock: at local time `seen_at` it showed at least `shown`.
struct clock_sample {
    remote_instant shown;
    instant seen_at;
};

/// A run on a runner that belongs to no current task and must be stopped.
struct orphan_run {
    run_number number;
    run_stop stop;
};

/// A stop that the runner has not confirmed; sorts by the time at which its order is repeated.
struct unconfirmed_stop {
    /// As in the run's `run_stop`.
    instant retry_at;
    runner_id runner;
    graph_task_id task;
    run_number run;

    auto operator<=>(const unconfirmed_stop&) const = default;
};

/// A runner stopped answering; it may have crashed.
struct runner_loss {
    runner_id runner;
    /// Last time at which it was known to be up, and when the loss was noticed.
    instant alive_at;
    instant noticed_at;
    /// No run may have crashed it.
    bool is_unexplained{false};
    /// The suspect that must have crashed it, unless an outside cause did.
    std::optional<graph_task_id> culprit;
    /// The culprit was ordered no longer than `prompt_crash_time` before.
    bool is_prompt{false};
    /// All tasks that were ordered no longer before.
    std::vector<graph_task_id> prompt_suspects;
};

/// What decides which tasks a schedulable runner can take, except the disturbance model.
struct runner_offer {
    resources capacity;
    resources reserved;
    std::size_t runs{0};
    resources kept_for_services;
    /// For a large task, and from when on.
    resources kept_for_large;
    instant kept_from;
    std::int64_t leftover_milli_cores{0};
    std::int64_t service_milli_cores{0};
    std::uint32_t benign_pace{0};
    double latency_rise_budget{0};
    double benign_latency_rise{0};
    double antagonist_latency_rise{0};

    bool operator==(const runner_offer&) const = default;
};

/// A runner that does not answer, so that the next holder of the lease may not learn of its runs.
struct unreported_runner {
    runner_id runner;
    /// Time until all leases on it have expired.
    millis leases_end_within;
    /// Tasks for which it counts if the runner has crashed, and whether it is attributed to them;
    /// see crashes.cpp. Only in the row of a released lease: a holder that goes on counts itself.
    std::vector<graph_task_id> suspects;
    bool is_attributed{false};
};

struct runner_record {
    runner_entry entry;
    /// False once the runner registry no longer lists it.
    bool listed{true};
    /// The store lists it among the used runners; a precondition for starting runs on it.
    bool stored{false};
    /// It has answered a hold of this term, and its last hold did not fail.
    bool is_responsive{false};
    /// It has answered a hold of this term, so it rejects orders of earlier terms.
    bool is_fenced{false};
    /// It may have runs of earlier terms that are not known here: no report of this term has listed
    /// all its runs and ends, and their leases may be valid.
    bool has_unreported_runs{false};
    /// What the holder before handed over about it; of use while `has_unreported_runs`.
    std::optional<unreported_runner> told_by_predecessor;
    /// A service there missed its target in the last report, or nearly so.
    bool is_disturbed{false};
    /// All leftover tasks are paused, as a service misses its target for too long or may do so.
    bool is_paused{false};
    std::optional<clock_sample> clock;
    /// The clock in its last report, and when it was shown at the latest, see `report_shown_at`.
    std::optional<clock_sample> report_clock;
    /// Local time by which the leases on its known incarnation have expired at the latest.
    instant leases_expire_by;
    /// When the last hold was sent, and the last one that failed.
    instant hold_sent_at;
    instant failed_hold_sent_at;
    /// Earliest time at which the last report can have been made, see `report_made_at`.
    instant report_made_at;
    /// Resources reserved for its runs; excludes the processor time of leftover tasks.
    resources reserved;
    /// Processor time requested by its leftover tasks, in thousandths of a core.
    std::int64_t leftover_milli_cores{0};
    /// Processor time declared by its service tasks, in thousandths of a core: total and by image.
    std::int64_t service_milli_cores{0};
    std::map<image_number, std::int64_t> service_milli_cores_by_image;
    /// Free room that is kept for waiting services, see reservations.cpp; no other task starts in
    /// it.
    resources kept_for_services;
    /// Room that is kept for a large task. Set exactly for `scheduler_state::reserved_runners`.
    std::optional<room_reservation> reservation;
    /// Expected rise of the tail latency of its services, in percent of their target, caused by
    /// leftover tasks at full speed: by benign tasks and by antagonists. Antagonists are leftover
    /// tasks with a high expected rise, see `is_antagonist`. The most affected service image
    /// counts.
    double benign_latency_rise{0};
    double antagonist_latency_rise{0};
    /// Latency rise that leftover tasks may cause at present, in percent of the target.
    double latency_rise_budget{0};
    std::set<graph_task_id> runs;
    /// At the end of the last placement round; empty if it was not schedulable then, or if settings
    /// have changed since that are not part of it.
    std::optional<runner_offer> last_offer;
    /// The waiting services were offered it in their last pass, and it has gained no room since.
    bool is_offered_to_services{false};
    /// Runs there that belong to no current task; no run is placed there until they have ended.
    std::map<graph_task_id, orphan_run> orphans;
    /// Stop orders to this runner that are not answered yet.
    std::uint32_t open_stops{0};

    bool hold_in_flight{false};
    std::uint64_t holds_sent{0};
    instant next_hold_at;
    std::uint32_t holds_failed{0};
    /// The last hold was sent and got no answer.
    bool hold_was_unanswered{false};
    /// An order to it was not answered or not sent, and it has reported nothing since.
    bool has_unanswered_order{false};
    /// Its report is overdue: it may have gone silent, and a successor is told of it.
    bool is_overdue{false};
    /// Number of the last processed end.
    std::uint64_t last_processed_end{0};
    /// Number of the last end whose consequences are stored.
    std::uint64_t acknowledged{0};
    /// Acknowledgement that the runner has certainly received. It is not sent again: a restarted
    /// runner numbers its ends anew and would apply it to them.
    std::uint64_t acknowledgement_delivered{0};
    /// Acknowledgement in the hold in flight.
    std::uint64_t acknowledgement_sent{0};
    /// Number of the newest change that processed ends depend on; see
    /// `commit_state::stored_change`.
    std::uint64_t last_processed_end_change{0};

    std::uint32_t failures_in_a_row{0};
    instant avoided_until;

    /// Last sign of life of the known incarnation.
    clock_sample last_alive;
    /// The last loss, unless the runner was leaving.
    std::optional<runner_loss> loss;
    /// When the wait of the hold in flight ends, and when the hold is given up.
    instant report_due_at;
    instant hold_times_out_at;
    /// A suspect was started there: nothing else starts before this time, so that a crash can be
    /// attributed. Reset by the first check after it.
    std::optional<instant> probation_until;

    /// Pace of its antagonists and of its benign leftover tasks, in percent of full speed.
    std::uint32_t antagonist_pace{full_pace};
    std::uint32_t benign_pace{full_pace};
    instant latency_rise_budget_changed_at;
    /// Highest tail latency of its services in the last report, in percent of their target.
    std::int64_t latency_percent{0};
    /// Latest time at which all its services certainly met their targets, or no leftover task ran
    /// beside them; empty while this holder of the lease has no evidence of such a time.
    std::optional<instant> targets_met_at;

    /// Offers it again to all that it could not take.
    void offer_again()
    {
        last_offer.reset();
        is_offered_to_services = false;
    }
};

/// Estimate of whether tasks of one image disturb services of another, learned from reports.
struct disturbance_estimate {
    /// Logarithm of the odds that the neighbour disturbs the service; 0: even odds.
    double log_odds{0};
    /// Number of reports it is based on.
    std::uint32_t reports{0};
};

/// Learned disturbance between images. Stored from time to time, so that a successor starts from
/// it.
struct disturbance_model {
    std::map<std::string, image_number> images;
    /// Indexed by the service's image, then the neighbour's; a square matrix of the size of
    /// `images`.
    std::vector<std::vector<disturbance_estimate>> estimates;
    /// Tail latency of undisturbed services, in percent of their target.
    double baseline_latency_percent{config::initial_baseline_latency_percent};
};

// ---- Store ---------------------------------------------------------------------------------

/// What a holder of the lease knows of the leases that it and earlier holders granted to runs.
///
/// Its times only shrink from one row to the next, whoever writes it, except for runners on which
/// the holder grants leases of its own.
struct handover {
    /// Runners that do not answer it. It grants no lease there while a row with them may be stored.
    std::vector<unreported_runner> runners;
    /// Time until the leases that earlier holders granted on all other runners have expired.
    millis earlier_leases_end_within;
    /// The holder may grant leases on all other runners.
    bool may_grant{false};
    /// The store has the place of each service run, see `task_record::placed_on`. Not so while runs
    /// may be left that a process of an earlier version has started.
    bool places_known{false};
};

/// Row of the scheduler's lease.
struct lease_row {
    std::string holder;
    std::string address;
    std::uint64_t incarnation{0};
    term_number term;
    /// The holder released the lease: it may be claimed without waiting for its expiry.
    bool released{false};
    /// The holder has completed its recovery: no run lease of an earlier holder is valid any more.
    /// Read only by processes that do not know `handed_over`.
    bool recovered{false};
    /// Not set in rows of processes of an earlier version.
    std::optional<handover> handed_over;
    /// Different in each row that a process sends.
    std::uint64_t number{0};
    /// Time until all leases have expired whose end may be on the clock of another incarnation than
    /// the one that took them. Processes of earlier versions grant such leases, and do not set it.
    std::optional<millis> foreign_leases_end_within;
};

enum class role : std::uint8_t {
    follower,
    /// Reads the head row before it claims the lease.
    reading_head,
    claiming,
    /// Holds the lease and loads the jobs.
    loading,
    scheduler,
};

struct lease_state {
    role current_role{role::follower};
    /// The last row seen; not set when it does not exist or was not read yet.
    std::optional<lease_row> row;
    row_version version{0};
    bool was_read{false};
    /// When the row's current version was first seen. Moved forward when the store becomes
    /// reachable again, to give the holder time to renew.
    instant seen_at;
    /// When the last row before this VM's claim was seen, and what it handed over. The times in it
    /// count from then.
    instant predecessor_seen_at;
    handover predecessor;
    /// When the leases of earlier holders have expired on runners that were not handed over.
    instant predecessor_leases_end;
    /// See `lease_row::foreign_leases_end_within`.
    instant foreign_leases_end;
    /// The last row that was sent, and its text.
    lease_row row_in_flight;
    std::string encoded_in_flight;
    /// When the last successful renewal was sent.
    instant renewed_at;
    instant renewal_sent_at;
    bool renewal_in_flight{false};
    /// The commit in flight releases the lease.
    bool release_in_flight{false};
    /// The lease is to be released.
    bool releasing{false};
    /// A row with `handover::may_grant` is certainly stored.
    bool may_grant{false};
    /// Runners in the rows that may be stored now, see `handover::runners`.
    std::set<runner_id> runners_in_row;
    /// When a row should be sent although the last one is recent: runners were lost or found since,
    /// or leases of a lost runner have expired.
    instant early_renewal_at{never};
    /// Number of the newest commit of the lease row; answers to earlier commits are ignored.
    std::uint64_t last_commit{0};
    instant retry_at;
    /// The first of the answered reads of the head row since a read failed, the lease's row changed
    /// or a claim was sent. Kept by VMs with insufficient capacity.
    std::optional<instant> head_answered_since;
    term_number term;
    /// When this VM last won the lease, and the version of the row that won it.
    instant won_at;
    row_version won_version{0};
};

/// The newest row with a VM's capacity.
struct capacity_write {
    row_version version{0};
    /// When it was first seen; not set if it was there when this process started.
    std::optional<instant> seen_at;
};

/// Entry VMs that this one knows.
struct membership_state {
    /// Capacities from the store's rows. VMs that no longer exist remain listed.
    std::map<vm_id, vm_capacity> capacities;
    std::map<vm_id, capacity_write> capacity_writes;
    /// Earliest time at which this VM writes its row again, see `capacity_announcement_period`.
    instant next_announcement_at;
    bool write_in_flight{false};
    instant retry_write_at;
    /// When each VM last forwarded a call to this one.
    std::map<vm_id, instant> last_contact_at;
};

/// A job in a commit, as it is once the commit is stored.
struct committed_job {
    job_id job;
    job_state state{job_state::queued};
    /// Number of its newest change that the commit has.
    std::uint64_t last_change{0};
    /// As in `job_record`.
    std::size_t spec_rows{0};
    std::size_t progress_rows{0};
};

/// A commit whose outcome is not known yet.
struct open_commit {
    rows_commit body;
    /// Size of its changes as they are sent.
    std::size_t bytes{0};
    std::vector<committed_job> jobs;
    std::vector<job_id> removed_jobs;
    std::vector<runner_id> runners;
    std::vector<runner_id> removed_runners;
    /// All changes up to this number are stored when the commit succeeds.
    std::uint64_t last_covered_change{0};
    /// When it was first sent.
    instant begun_at;
    /// The commit was refused and will be sent again.
    bool resend_pending{false};
    /// An earlier attempt to send the commit may still take effect.
    bool may_still_apply{false};
    /// True while the head row is read to find out the outcome.
    bool lookup_in_flight{false};
};

struct commit_state {
    row_version head_version{0};
    std::uint64_t last_commit_number{0};
    std::optional<open_commit> open;
    /// Number of the newest change to any job.
    std::uint64_t last_change{0};
    /// All changes up to this number are in the store.
    std::uint64_t stored_change{0};
    /// Changed jobs, each with the number of its first change that is in no commit yet; oldest
    /// first, but for jobs whose commit was invalid.
    std::deque<std::pair<job_id, std::uint64_t>> changed_jobs;
    /// Most jobs in the next commit; lowered while commits are invalid.
    std::size_t max_jobs{config::max_jobs_per_commit};
    instant sent_at;
    /// Removed jobs whose rows must be deleted.
    std::vector<job_id> jobs_to_remove;
    /// Runners to add to the table of used runners, and to delete from it.
    std::vector<runner_id> runners_to_add;
    std::vector<runner_id> runners_to_remove;
    instant retry_at;
    /// Since when commits have been failing; not set while they succeed.
    std::optional<instant> failing_since;
};

/// A table that is being read page by page.
struct table_scan {
    std::map<std::string, std::string> rows;
    std::string next_key;
    bool is_complete{false};
    bool in_flight{false};
    /// When the page in flight was requested.
    instant requested_at;
    instant retry_at;
};

/// Progress of a new lease holder in loading the store: one table after the other, one page at a
/// time.
struct loading_state {
    /// When the lease was won or the last page arrived.
    instant last_progress_at;
    page_size page;
    table_scan jobs;
    table_scan progress;
    table_scan used_runners;
    table_scan disturbance;
};

/// State of the scheduler; empty unless this VM holds the lease.
struct scheduler_state {
    std::unordered_map<job_id, job_record, id_hash> jobs;
    std::map<runner_id, runner_record> runners;
    /// When the runners were last checked.
    instant runners_checked_at;
    std::set<ready_key> ready;
    /// Contains each ready service task that ran before, but for gangs.
    std::map<graph_task_id, waiting_service> waiting_services;
    /// They are to be placed: capacity may have been freed since they were offered to the runners.
    bool services_due{false};
    /// Room is kept on some runner.
    bool keeps_room{false};
    /// Earliest time at which they are offered again, given the cost of the last time, and latest.
    instant next_services_at;
    instant services_check_at;
    /// Tasks started since the lease was won, and the last `logged_starts` of them.
    std::uint64_t starts{0};
    std::deque<graph_task_id> last_started;
    /// Passes of the waiting services so far, and when the next one offers them all runners.
    std::uint64_t service_passes{0};
    instant full_service_pass_at;
    instant service_wait_logged_at;
    /// Number of jobs in each queue of which no task has started yet.
    std::map<queue_id, std::uint64_t> pending;
    /// Contains the owner of each job that is not forgotten.
    std::unordered_map<organisation_id, organisation_use, organisation_hash> organisations;
    /// When `organisation_use::unreported` is counted next; `never` after the recovery.
    instant next_unreported_count_at;
    commit_state commits;
    loading_state loading;
    disturbance_model learned_disturbance;
    /// By image and size, see run_times.cpp. A new holder begins without; the ends of the first
    /// seconds fill it again.
    std::map<run_time_key, seen_run_times> run_times;
    /// When `learned_disturbance` was last added to a commit.
    instant disturbance_stored_at;
    bool register_known{false};
    /// Entries of the registry that name no runner to use, as nobody has named their service. At
    /// most `max_ignored_entries` are noted.
    std::map<runner_id, service_id> ignored_entries;
    /// Recovery after a takeover ends when all runners have answered, or once the predecessors'
    /// leases have expired and the others are given up, see `is_given_up`, but not before those
    /// that answer have listed all their ends. Until then tasks of recovered jobs do not start
    /// unless they are reconciled, but for services that were placed on no runner or on one without
    /// unreported runs.
    bool recovering{false};
    /// Services of which no place is known need not wait any longer: they have no ends to report.
    bool services_recovered{false};
    /// See `handover::places_known`.
    bool places_known{false};
    /// Contains the tasks whose run has `awaits_store`, each with the number of the job's change
    /// that has its place or its open run; other entries are dropped when that is stored.
    std::map<graph_task_id, std::uint64_t> unstored_starts;
    /// Occurrences that are not due yet: due time on the wall clock, job, and index of the
    /// occurrence.
    std::set<std::tuple<std::int64_t, job_id, std::uint32_t>> future_occurrences;
    /// A task became ready or capacity was freed since the last placement.
    bool placement_due{false};
    /// A step became ready since the last placement.
    bool has_new_ready{false};
    instant last_placement_at;
    /// End of the last placement round that left leftover tasks without a runner; kept only where
    /// the deployment asks for headroom of services.
    std::optional<instant> leftover_waited_at;
    /// Earliest time of the next placement round, given the cost of the last.
    instant next_placement_at;
    /// When the last step began, if it had a placement round or a pass of the waiting services.
    std::optional<instant> round_began_at;
    std::optional<instant> service_pass_began_at;
    /// Position of the first unchanged runner that the next round offers once more.
    std::size_t next_reoffered_runner{0};
    /// Runners on which room is kept for large tasks, and on how many of them for each step.
    std::set<runner_id> reserved_runners;
    std::map<ready_key, std::uint32_t> reserved_steps;
    instant reservations_check_at;
    lookahead_counts lookahead;
    /// Number of placement rounds since the lease was won.
    std::uint64_t placement_rounds{0};
    /// Number of runners scored for a task since the lease was won.
    std::uint64_t runners_scored{0};
    /// Contains each unconfirmed stop; other entries are dropped when they are due.
    std::set<unconfirmed_stop> unconfirmed_stops;
    /// Stop orders to all runners that are not answered yet.
    std::uint32_t open_stops{0};
    /// Number of stops checked for a repeat since the lease was won.
    std::uint64_t stop_retry_checks{0};
    instant last_relocation_at;
    /// Losses of runners that were not leaving, oldest first; see crashes.cpp.
    std::deque<runner_loss> recent_losses;
    /// Calls that arrived while the jobs were being loaded.
    std::vector<std::pair<call_handle, job_call>> deferred_calls;
    instant next_cleanup_at;
};

// ---- Entry ---------------------------------------------------------------------------------

/// How often a call was forwarded to the VM that schedules, and how long that took. All durations
/// are differences of one VM's clock.
struct forward_history {
    std::uint32_t count{0};
    /// When the call was last forwarded; valid unless `count` is 0.
    instant last_at;
    /// The last forward has not ended yet.
    bool is_in_flight{false};
    /// Time from the last forward to the peer's answer; empty without one.
    std::optional<millis> round_trip{};
    /// The part of `round_trip` during which the peer held the call; empty when unknown.
    std::optional<millis> held{};
};

/// A call from a caller or a peer that is not answered yet.
struct open_call {
    job_call call;
    bool from_peer{false};
    instant opened_at;
    instant deadline;
    /// True while the scheduler, here or on a peer, handles the call.
    bool dispatched{false};
    /// Address of the peer to which the call was last forwarded.
    std::string last_peer_address;
    forward_history forwards;
    /// An earlier attempt may have been accepted.
    bool maybe_accepted{false};
    instant retry_at;
};

struct central_state {
    identity self;
    operator_configuration operators;
    bool manifest_read{false};
    bool store_is_reachable{false};
    instant store_back_at;
    /// The last forwarded call found no scheduler. Without the store this VM cannot learn which VM
    /// holds the lease now.
    bool scheduler_is_unknown{false};
    lease_state lease;
    membership_state members;
    scheduler_state scheduler;
    std::map<call_handle, open_call> calls;
    bool stopping{false};
    instant drain_deadline;
    /// All calls were answered and `shutdown_complete` was sent; new calls are refused immediately.
    bool shutdown_reported{false};
    /// The reducer needs a tick no later than this.
    instant wake_at{never};
    /// While a tick waits, due checks run with other events, but not again before this time.
    instant next_check_at;
};

/// \return true if new connections of callers should come to this VM: it knows the queues, is not
/// shutting down, and has a scheduler or the means to learn of one.
bool is_ready(const central_state& s);

/// \return what a call to that address with that credential may get: `accepted`, or why it is
/// refused whatever its body is.
call_result check_caller(const central_state& s, std::string_view host, std::string_view path,
                         const credential& key);

/// Applies one event.
/// \param wall wall-clock time since the epoch; used for schedules and stored submission times.
/// \return the effects, in the order of execution.
effects reduce(central_state& s, const event& e, instant now, millis wall_time);

/// Tells how long the last step took: placement that took long waits as long, so that it never has
/// more than half of a busy loop's time.
/// \param now when `reduce` returned.
void end_step(central_state& s, instant now);

} // namespace cuminmoor::central
