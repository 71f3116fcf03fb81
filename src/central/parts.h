/// \file
/// Interfaces between the components of the central scheduler, by source file.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "cuminmoor/central/config.h"
#include "cuminmoor/central/names.h"
#include "cuminmoor/central/state.h"

namespace cuminmoor::central {

/// One step of the reducer: the state, the current times and the effects produced so far.
struct context {
    central_state& s;
    effects& out;
    instant now;
    millis wall_time;

    void add(effect e) const { out.push_back(std::move(e)); }
    void log(std::string name, std::vector<log_field> fields) const
    {
        out.emplace_back(log_event{std::move(name), std::move(fields)});
    }
    /// Schedules the reducer's next periodic check no later than `at`.
    void wake_by(instant at) const { s.wake_at = std::min(s.wake_at, at); }
    [[nodiscard]] bool is_scheduler() const { return s.lease.current_role == role::scheduler; }
};

/// \return "job.occurrence.step.index".
std::string to_string(const graph_task_id& id);

// ---- entry.cpp: calls from callers and peers
void on_caller_call(const context& c, const caller_call& e);
void on_peer_call(const context& c, const peer_call_received& e);
void on_peer_call_ended(const context& c, const peer_call_ended& e);
void check_calls(const context& c);
/// Answers every open call: `outcome_unknown` if it may have been accepted, otherwise
/// `unavailable`.
void answer_all_open_calls(const context& c);
/// Answers and closes an open call; no effect if it is closed already.
void answer(const context& c, call_handle handle, const call_answer& a);

// ---- lease.cpp: election of the scheduler
void on_control_changed(const context& c, const control_changed& e);
void on_store_reachable(const context& c, const store_reachable& e);
void on_lease_committed(const context& c, const rows_committed& e);
void on_head_read(const context& c, const rows_read_done& e);
void check_lease(const context& c);
/// Releases the lease with the next commit of its row.
void begin_release(const context& c);
/// Becomes a follower and discards the scheduler's state.
void step_down(const context& c, const std::string& reason);
/// \return true while this VM may send orders to runners: it holds the lease and renewed it
/// recently.
bool may_send_orders(const context& c);

// ---- loading.cpp: loading the jobs after the lease was won
void begin_loading(const context& c);
void on_rows_read(const context& c, const rows_read_done& e);
void check_loading(const context& c);

// ---- jobs.cpp: life cycle of a job
/// Answers a cancellation that is in the store.
void answer_canceller(const context& c, call_handle handle, const job_record& job);
/// Handles a call at the scheduler; while the jobs are being loaded the call is deferred.
void handle_call(const context& c, call_handle handle, const job_call& call);
/// Starts occurrences that have become due and removes ended jobs after their retention.
void check_jobs(const context& c);

/// Pointers to a task and to the job, step and occurrence that it belongs to; null when there is no
/// such task.
struct task_ref {
    job_record* job{nullptr};
    const graph_step* step{nullptr};
    image_number image{0};
    occurrence_record* occurrence{nullptr};
    step_record* progress{nullptr};
    task_record* task{nullptr};

    explicit operator bool() const { return task != nullptr; }
};
task_ref find_task(central_state& s, const graph_task_id& id);

/// \return the record of a new job, with its deadline and its occurrences, none of them started.
job_record make_job(const graph_job& spec, const queue& queue_settings, instant submitted_at);
/// Starts every occurrence that is due and schedules the others.
void start_due_occurrences(const context& c, job_record& job);
/// Starts the occurrence of a task that a runner reports, unless it is started: the holder before
/// has started it, as its time of day was ahead.
void start_reported_occurrence(const context& c, const graph_task_id& id);
/// Creates the records of an occurrence's steps and tasks.
void init_occurrence(job_record& job, std::uint32_t occurrence);
/// Marks the tasks of all steps without unfinished dependencies as ready.
void mark_ready_steps(const context& c, job_record& job);
/// \return the key of the step to which the task belongs.
ready_key ready_key_of(const job_record& job, const graph_task_id& id);
/// Makes a task available to placement.
void mark_task_ready(const context& c, const graph_task_id& id, task_ref ref);
/// Withdraws a ready task from placement; no effect on other tasks.
void unmark_task_ready(const context& c, const graph_task_id& id, task_ref ref);
/// Changes the state of a queued job to running.
void mark_job_started(const context& c, job_record& job);
/// Marks a task as done, finishes its step after the last task and stores the change.
void finish_task(const context& c, const graph_task_id& id, task_ref ref);
/// Counts a failure of a task. The job fails after `max_attempts`; services do not.
void fail_task(const context& c, const graph_task_id& id, task_ref ref);
/// Ends a job: stops its runs and stores the final state.
void end_job(const context& c, job_record& job, job_state state, const std::string& cause);

// ---- commits.cpp: writing changes to the store
/// Queues a job for the next commit.
void mark_changed(const context& c, job_record& job);
/// Sends or repeats a commit if one is due and none is in flight.
void send_commit(const context& c);
void on_progress_committed(const context& c, const rows_committed& e);
/// Determines the outcome of a commit from the head row that was read.
void on_head_looked_up(const context& c, const rows_read_done& e);

// ---- runners.cpp: runners, holds and leases
void on_registry_changed(const context& c, const registry_changed& e);
void on_hold_ended(const context& c, const runner_hold_ended& e);
/// \param unread_reports see `tick`.
void check_runners(const context& c, const std::set<runner_id>& unread_reports);
void acknowledge_stored_ends(const context& c);
/// \return true if tasks that end may start again elsewhere although no report has shown how their
/// runs there ended. A runner that is still listed may be found again at any time with ends that
/// were not reported, so it is asked once more after its leases have expired.
bool is_given_up(const runner_record& r);
/// Extends the lease of all runs on the runner, counted from now.
/// \return the end of the lease on the runner's clock; empty until that clock is known.
std::optional<remote_instant> grant_lease(const context& c, runner_record& r);
/// \return the longest local time until a lease given now expires, assuming the slowest permitted
/// runner clock.
millis longest_lease(const central_state& s);
/// \return the same for a lease whose end is on the clock of an earlier incarnation: the runner
/// cuts it to the longest that it accepts.
millis longest_foreign_lease(const central_state& s);

// ---- run_orders.cpp: results of orders
void on_order_ended(const context& c, const runner_order_ended& e);

// ---- runs.cpp: starts and resource accounting of runs
/// Reserves resources for a run and orders its start; that of a service once its place is stored.
void start_run(const context& c, const graph_task_id& id, task_ref ref, runner_record& r,
               run_number number);
/// Orders the starts whose places are stored, on runners that can still take them.
void order_stored_starts(const context& c);
/// Stops the runs on a draining runner that lose no progress by a stop: services and tasks with
/// checkpoints.
void evict_from_draining_runner(const context& c, runner_record& r);
/// Makes a run the task's current run and reserves its resources on the runner.
void attach_run(const task_ref& ref, runner_record& r, const graph_task_id& id, const run& started);
/// Removes the task's current run and its reservation.
/// \param r null if the runner was removed.
void detach_run(const context& c, const task_ref& ref, runner_record* r, const graph_task_id& id);
/// Adds a run to the runner and reserves its resources; no effect if the task already has a run
/// there.
void reserve_for_run(runner_record& r, const task_ref& ref, const graph_task_id& id);
/// Undoes `reserve_for_run`.
void unreserve_run(runner_record& r, const task_ref& ref, const graph_task_id& id);
/// Removes a run that has certainly ended and requeues its task.
void release_run(const context& c, const graph_task_id& id, task_ref ref);
/// Why no run of a runner can exist any more.
enum class loss_evidence : std::uint8_t { other_incarnation, leases_expired };
/// Marks the runs of services on a runner as lost, as all leases there have expired.
void mark_services_lost(const context& c, runner_record& r);
/// Marks all runs on a runner as lost.
void mark_all_runs_lost(const context& c, runner_record& r, loss_evidence evidence);
/// Marks runs as lost if a restarted runner does not report them. A run is stopped instead if its
/// start was confirmed after the hold was sent, as the report may predate it, or if the report may
/// lack its end.
void drop_unreported_runs(const context& c, runner_record& r, const runner_hold_ended& report);

// ---- stops.cpp: orders to stop runs
/// Marks a run as stopping and orders its stop. The order is repeated until the runner confirms it.
void stop_run(const context& c, const graph_task_id& id, run& r);
/// Repeats the orders of unconfirmed stops that are due.
void repeat_unconfirmed_stops(const context& c);

// ---- crashes.cpp: tasks that crash their runners
/// Records that a runner stopped answering.
void record_runner_loss(const context& c, runner_record& r);
/// \return the tasks whose current runs may have crashed the runner.
std::vector<graph_task_id> crash_suspects(const context& c, const runner_record& r);
/// Counts the crash of a runner for the suspects whose runs were lost with it, and holds back tasks
/// that seem to crash their runners. No effect if the runner was leaving.
void count_crash(const context& c, runner_record& r, const std::vector<graph_task_id>& suspects);
/// Adds the suspects of a runner's loss to what is handed over about it.
void add_suspects(const context& c, const runner_record& r, unreported_runner& u);
/// Counts a crash for the suspects that were handed over, if the runner has not reported since.
void count_handed_over_crash(const context& c, runner_record& r);
/// \return true if the task is a suspect that must not start yet. Counts a run of it that was lost
/// with the holder of the lease.
bool is_held_back(const context& c, const graph_task_id& id, task_ref ref);
/// Records that a suspect is about to start; no effect on other tasks.
void begin_suspect_run(const context& c, task_ref ref);
/// Records that the outcome of a suspect's run is known.
void end_suspect_run(const context& c, task_ref ref);
/// Clears the suspicion against the task once its current run has survived its start.
void clear_suspicion_if_survived(const context& c, const runner_record& r, task_ref ref);

// ---- restarts.cpp: services whose runs end by themselves
/// Records that the current run of a service task is reported as done or failed; it is started
/// again all the same.
void record_service_exit(const context& c, const graph_task_id& id, const task_ref& ref);
/// \return true if the task must not start yet, as its last runs were short.
bool awaits_restart(const context& c, const task_ref& ref);

// ---- run_reports.cpp: processing of runner reports
void process_reported_end(const context& c, runner_record& r, const reported_end& e);
void process_reported_runs(const context& c, runner_record& r, const runner_hold_ended& report);

// ---- reservations.cpp: services that ran before and have no run
/// \return true if the task is of a service and ran before. Room that is kept does not hold it off.
bool is_returning_service(const task_ref& ref);
/// Adds a ready task to the waiting services; no effect on tasks that are none.
void add_waiting_service(const context& c, const graph_task_id& id, const task_ref& ref);
/// Removes a task that is not ready any more.
void remove_waiting_service(const context& c, const graph_task_id& id);
/// \return the waiting services that may start now, by priority, then the longest waits first.
std::vector<graph_task_id> startable_services(const context& c);

/// One offer of the waiting services to the runners.
struct service_pass {
    std::uint64_t number{0};
    /// All schedulable runners.
    std::vector<runner_record*> runners;
    /// Those of them that may have gained room since the last pass; now and then all.
    std::vector<runner_record*> changed;

    /// \param rejected_in number of the last pass in which all runners rejected the step.
    /// \return the runners to offer it now: those that rejected it in the last pass and have gained
    /// no room since would reject it again.
    [[nodiscard]] const std::vector<runner_record*>& runners_for(std::uint64_t rejected_in) const
    {
        return rejected_in != 0 && rejected_in + 1 == number ? changed : runners;
    }
};

/// Keeps room for services that no runner can take now: each on one runner, no more than it needs.
void keep_room(const context& c, const service_pass& pass,
               const std::vector<graph_task_id>& services);
/// Records a start, for the log of services that wait meanwhile.
void note_start(const context& c, const graph_task_id& id);
/// Logs the longest wait, what withholds the runners and what was started meanwhile, from time to
/// time.
void log_waiting_services(const context& c);

// ---- placement.cpp
/// Starts ready tasks on feasible runners, most urgent steps first.
void place_ready_tasks(const context& c);

// ---- runner_selector.cpp
/// \return true if the runner accepts new runs now.
bool is_schedulable(const context& c, const runner_record& r);
/// \return the runners that accept new runs now.
std::vector<runner_record*> schedulable_runners(const context& c);
/// Requirements of a leftover task on a runner.
enum class runner_requirement : std::uint8_t {
    /// Enough spare processor time for nearly full speed, and latency rise within the budget.
    full_speed,
    /// As `full_speed`, and the task is no antagonist of a service there.
    benign,
    /// Memory and some processor time; the task may be throttled.
    best_effort,
};

/// \return true if the runner has the label that the task requires, and serves its queue.
bool meets_label(const runner_record& r, const task_ref& ref);
/// \return true if all but the room on the runner permits the task.
bool meets_constraints(const runner_record& r, const graph_task_id& id, const task_ref& ref);
/// \return true if a schedulable runner can take the task.
bool is_feasible(const context& c, const runner_record& r, const graph_task_id& id,
                 const task_ref& ref, runner_requirement requirement);

/// Selects runners for many tasks in a placement round, in which free capacity only shrinks. Caches
/// rejected task sizes, so that tasks of the same or a larger size are rejected without scoring
/// runners.
class runner_selector {
public:
    explicit runner_selector(const context& c) : c_{c} {}

    /// \param candidates schedulable runners; none of the others is feasible.
    /// \return the feasible runner with the highest score, or null.
    runner_record* select_runner(const std::vector<runner_record*>& candidates,
                                 const graph_task_id& id, const task_ref& ref,
                                 runner_requirement requirement = runner_requirement::full_speed);
    /// \return false if a task of at most the same size was rejected before.
    [[nodiscard]] bool may_fit(const task_ref& ref, runner_requirement requirement) const;

    /// \return the most members of the gang that may fit, according to rejected gangs with members
    /// of at most the same size; `SIZE_MAX` without any.
    [[nodiscard]] std::size_t max_gang_members(const task_ref& ref) const;
    /// \param max_members upper bound of the members that fit at the same time.
    void record_rejected_gang(const task_ref& ref, std::size_t max_members);

private:
    /// All attributes that decide where a task is feasible, except its size. The strings belong to
    /// the task's job, which must outlive the selector.
    using requirement_key =
        std::tuple<image_number, bool, runner_requirement, std::string_view, std::string_view>;

    static requirement_key requirement_key_of(const task_ref& ref, runner_requirement requirement);
    void record_rejected_size(const task_ref& ref, runner_requirement requirement);

    const context& c_;
    struct rejected_gang {
        resources member;
        std::size_t max_members{0};
    };
    /// Task sizes that no runner could take; none of them fits another.
    std::map<requirement_key, std::vector<resources>> rejected_sizes_;
    std::map<requirement_key, std::vector<rejected_gang>> rejected_gangs_;
};

// ---- relocation.cpp
/// Stops throttled tasks that would end sooner on another runner, once per `relocation_period`.
void relocate_throttled_tasks(const context& c);
/// \return true if a throttled run would end sooner at full speed elsewhere by a factor of at least
/// `min_relocation_speedup`, including the cost of the move.
bool is_relocation_worthwhile(const graph_step& step, const run& r);

// ---- disturbance.cpp: disturbance of services by leftover tasks
/// \return the tail latency rise that a task is expected to cause on a runner, in percent of the
/// target of the most affected service there.
double expected_latency_rise(const central_state& s, const runner_record& r, const task_ref& ref);
/// \return true if a leftover task is expected to raise the tail latency of a service there by at
/// least `antagonist_percent_per_core`.
bool is_antagonist(const central_state& s, const runner_record& r, const task_ref& ref);
/// Assigns numbers to the images of a job's steps and grows the disturbance model for new images.
void assign_image_numbers(const context& c, job_record& job);
/// Updates the disturbance model from the latest report of a runner.
void learn_disturbance(const context& c, const runner_record& r);
/// Recomputes the expected latency rises on a runner from its current runs.
void update_expected_disturbance(const context& c, runner_record& r);

// ---- pacing.cpp
/// \return true if the runner hosts both services and leftover tasks, which may disturb them.
bool hosts_services_and_leftover(const runner_record& r);
/// Updates, from the latest report, whether services on the runner meet their targets, and how much
/// latency rise its leftover tasks may cause.
/// \param shown_at time of the state that the report shows.
void observe_latency(const context& c, runner_record& r, instant shown_at);
/// Orders the paces of the runner's leftover tasks.
void pace_runner(const context& c, runner_record& r);
/// Pauses the leftover tasks if reports about the runner's services are overdue.
void pause_if_reports_are_overdue(const context& c, runner_record& r);

} // namespace cuminmoor::central
