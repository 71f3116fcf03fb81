/// \file
/// What the parts of the central scheduler offer each other. The reducer calls them.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "cuminmoor/central/config.h"
#include "cuminmoor/central/state.h"

namespace cuminmoor::central {

/// One step of the reducer: the state, what it is told of time, and what it asks for.
struct context {
    central_state& s;
    effects& out;
    instant now;
    millis wall;

    void add(effect e) const { out.push_back(std::move(e)); }
    void log(std::string name, std::vector<log_field> fields) const
    {
        out.emplace_back(log_event{std::move(name), std::move(fields)});
    }
    /// Asks for the next step at the latest then.
    void wake(instant at) const { s.wake_at = std::min(s.wake_at, at); }
    [[nodiscard]] bool is_scheduler() const { return s.lease.now == role::scheduler; }
};

/// \return "job.occurrence.step.index".
std::string to_string(const graph_task_id& id);

// ---- entry.cpp: calls of callers and peers
void on_caller_call(const context& c, const caller_call& e);
void on_peer_call(const context& c, const peer_call_received& e);
void on_peer_call_ended(const context& c, const peer_call_ended& e);
void check_calls(const context& c);
/// Answers all open calls, as far as something is certain about them.
void end_all_calls(const context& c);
void answer(const context& c, call_handle handle, const call_answer& a);

// ---- lease.cpp: who schedules
void on_control_changed(const context& c, const control_changed& e);
void on_store_reachable(const context& c, const store_reachable& e);
void on_lease_committed(const context& c, const rows_committed& e);
void on_head_read(const context& c, const rows_read_done& e);
void check_lease(const context& c);
void begin_release(const context& c);
/// Forgets all that only the holder of the lease may act on.
void step_down(const context& c, const std::string& reason);
/// \return true while the holder may go on with its runners.
bool may_order(const context& c);

// ---- loading.cpp: reading the jobs after the lease was won
void begin_loading(const context& c);
void on_rows_read(const context& c, const rows_read_done& e);
void check_loading(const context& c);

// ---- jobs.cpp: life of a job
void handle_call(const context& c, call_handle handle, const job_call& call);
void check_jobs(const context& c);

/// A task with all that it belongs to.
struct task_place {
    job_record* job{nullptr};
    const graph_step* step{nullptr};
    /// Image of the step.
    image_number image{0};
    occurrence_record* occurrence{nullptr};
    step_record* progress{nullptr};
    task_record* task{nullptr};

    explicit operator bool() const { return task != nullptr; }
};
task_place find_task(central_state& s, const graph_task_id& id);

job_record make_job(const graph_job& spec, const queue& treatment, instant submitted_at);
void begin_due_occurrences(const context& c, job_record& job);
void make_occurrence(job_record& job, std::uint32_t occurrence);
void list_ready(const context& c, job_record& job);
void make_ready(const context& c, const graph_task_id& id, task_place place);
void unlist_ready(const context& c, const graph_task_id& id, task_place place);
void note_started(const context& c, job_record& job);
void finish_task(const context& c, const graph_task_id& id, task_place place);
void fail_task(const context& c, const graph_task_id& id, task_place place);
void end_job(const context& c, job_record& job, job_state state, const std::string& cause);

// ---- commits.cpp: what is stored
void mark_changed(const context& c, job_record& job);
void send_commit(const context& c);
void on_progress_committed(const context& c, const rows_committed& e);
void on_head_looked_up(const context& c, const rows_read_done& e);

// ---- runners.cpp: runners and what they report
void on_register_changed(const context& c, const register_changed& e);
void on_hold_ended(const context& c, const runner_hold_ended& e);
void check_runners(const context& c);
void acknowledge_stored_ends(const context& c);
/// Gives all runs there a lease from now on.
/// \return its end; nothing before the runner's clock was read.
std::optional<remote_instant> grant_lease(const context& c, runner_record& r);
/// \return the longest time that a lease given now lasts, also when the runner's clock is slow.
millis longest_lease(const central_state& s);

// ---- run_orders.cpp: answers to orders
void on_order_ended(const context& c, const runner_order_ended& e);

// ---- runs.cpp: starting and stopping of runs, and their books
void start_run(const context& c, const graph_task_id& id, task_place place, runner_record& r,
               run_number number);
void stop_run(const context& c, const graph_task_id& id, run& r);
/// Tasks that lose nothing by it leave a runner that is leaving.
void evict_from_draining_runner(const context& c, runner_record& r);
/// Books a run for a task, at the runner and at the job.
void attach_run(const task_place& place, runner_record& r, const graph_task_id& id,
                const run& started);
/// Takes the task's run out of the books of its runner, if that is known still, and its job.
void detach_run(const context& c, const task_place& place, runner_record* r,
                const graph_task_id& id);
/// Puts a run into the runner's books.
void reserve_for_run(runner_record& r, const task_place& place, const graph_task_id& id);
/// Takes it out again.
void unreserve_run(runner_record& r, const task_place& place, const graph_task_id& id);
/// The run certainly runs no longer: its room is free, and the task may start again.
void release_run(const context& c, const graph_task_id& id, task_place place);
/// Orders stops there again that failed a while ago.
void retry_failed_stops(const context& c, runner_record& r);
/// The runner's life is over, or its leases have expired: nothing runs there.
void mark_all_runs_lost(const context& c, runner_record& r, const std::string& cause);
/// The runner has begun a new life: only what it reports runs there, or has ended there.
void drop_unreported_runs(const context& c, runner_record& r, const runner_hold_ended& report);

// ---- run_reports.cpp: what runners report
void process_reported_end(const context& c, runner_record& r, const reported_end& e);
void process_reported_runs(const context& c, runner_record& r,
                           const std::vector<reported_run>& reported);

// ---- placement.cpp
void place_ready_tasks(const context& c);
/// \return the runners that take work now.
std::vector<runner_record*> schedulable_runners(const context& c);
/// What a task that uses leftover processor time asks of a runner.
enum class runner_requirement : std::uint8_t {
    /// It runs at nearly full speed, and services there keep their targets.
    full_speed,
    /// The same, and it disturbs no service there much.
    benign,
    /// Memory and some processor time; it may have to be slowed down.
    best_effort,
};

/// Chooses runners for many tasks while room only shrinks. What no runner could take is remembered,
/// so that tasks which ask for as much or more cost no further look at the runners.
class runner_selector {
public:
    /// \param runners those that take work; they outlive this.
    runner_selector(const context& c, const std::vector<runner_record*>& runners);

    /// \return the best of them for a task, or null.
    runner_record* select_runner(const graph_task_id& id, const task_place& place,
                                 runner_requirement wanted = runner_requirement::full_speed);

    /// \return false when as many or fewer members of that size found no room together.
    [[nodiscard]] bool may_fit_gang(const task_place& place) const;
    void record_rejected_gang(const task_place& place);

private:
    /// All that decides about a task's room but its size.
    using requirement_key =
        std::tuple<service_id, std::string, image_number, bool, runner_requirement>;

    static requirement_key requirement_key_of(const task_place& place, runner_requirement wanted);
    [[nodiscard]] bool is_known_not_to_fit(const requirement_key& wanted,
                                           const resources& size) const;

    const context& c_;
    const std::vector<runner_record*>& runners_;
    struct gang_size {
        resources member;
        std::size_t members{0};
    };
    /// Sizes that found no room.
    std::map<requirement_key, std::vector<resources>> rejected_sizes_;
    std::map<requirement_key, std::vector<gang_size>> rejected_gangs_;
};

// ---- relocation.cpp
void relocate_throttled_tasks(const context& c);
/// \return true when a slowed run would end clearly sooner at full speed elsewhere.
bool is_relocation_worthwhile(const graph_step& step, const run& r);

// ---- disturbance.cpp: what disturbs services
/// \return the rise of a service's tail that a task is expected to cause on a runner, in percent of
/// the target of the service there that suffers most.
double expected_latency_rise(const central_state& s, const runner_record& r,
                             const task_place& place);
/// \return true for tasks that disturb a service there much.
bool is_antagonist(const central_state& s, const runner_record& r, const task_place& place);
/// Gives the images of a job's steps their numbers.
void assign_image_numbers(const context& c, job_record& job);
/// Learns from what a runner reported.
void learn_disturbance(const context& c, const runner_record& r);
/// Works out anew what is expected on a runner.
void update_expected_disturbance(const context& c, runner_record& r);

// ---- pacing.cpp
void pace_runner(const context& c, runner_record& r);

} // namespace cuminmoor::central
