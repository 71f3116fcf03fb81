/// \file
/// Simulation of entry VMs under central scheduling on a virtual clock, with a store, runners and
/// callers, fault injection, and checks of the scheduler's invariants.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "central/store/codec.h"
#include "cuminmoor/central/state.h"
#include "fake_runner.h"

namespace cuminmoor::central::test {

struct world_options {
    std::uint64_t seed{1};
    std::size_t vms{3};
    std::size_t runners{4};
    resources runner_capacity{16'000, 64'000, 0};
    /// The runners' clocks show anything at the start of an incarnation, and may be slow.
    bool has_any_runner_clocks{false};
    /// Capacities of the VMs by index; VMs beyond the list have none configured.
    std::vector<vm_capacity> capacities{};
    /// Of all VMs.
    scheduling_options scheduling{};
};

/// Injected faults of the store and of connections. May be changed at any time.
struct world_faults {
    bool store_is_down{false};
    /// Reads and transactions sent now are neither executed nor answered; the feeds go on.
    bool store_calls_are_silent{false};
    /// Share of transactions that are executed but not answered.
    double lost_commits{0};
    /// Share of transactions that are refused and not executed.
    double refused_commits{0};
    /// Jobs of which the store rejects every row, for good.
    std::set<std::string> invalid_jobs;
    /// Share of transactions that are executed after their timeout and not answered.
    double late_commits{0};
    /// Transfer time of a table page to a VM.
    millis page_time{1};
    /// Maximum rows in a page.
    std::size_t page_rows{5};
    /// Bandwidth of a VM's link for pages; 0: no limit. Concurrent pages are transferred one after
    /// the other, and a page that exceeds its timeout is lost.
    std::size_t link_bytes_per_ms{0};
    /// Delay of the runners' reports on their way to a VM.
    millis report_delay{0};
    /// Time for which results of runners wait at a VM while other events overtake them.
    millis runner_event_wait{0};
    /// Share of orders to runners that are executed but not answered.
    double lost_orders{0};
    /// Share of orders that are executed seconds late and not answered.
    double late_orders{0};
    /// They are carried out by whichever incarnation is up then.
    bool late_orders_outlive_runners{false};
    /// Share of orders that the VM cannot send: it knows so after 500 ms.
    double unsent_orders{0};
    /// VMs that cannot reach the store.
    std::set<std::size_t> vms_without_store;
    /// Runners that no VM can reach. The registry may still list them, see `set_listed`.
    std::set<std::size_t> unreachable_runners;
    /// The registry also lists runners that were replaced since.
    bool replaced_runners_are_listed{false};
    /// Pairs (VM, runner) that cannot reach each other.
    std::set<std::pair<std::size_t, std::size_t>> unreachable_runner_paths;
    /// Connections from VMs to runners that are open already carry nothing any more; new ones work.
    bool kept_connections_are_silent{false};
    /// Pairs of VMs of which the first cannot connect to the second.
    std::set<std::pair<std::size_t, std::size_t>> unreachable_peers;
    /// Share of peer calls that arrive but whose answer is lost.
    double lost_peer_answers{0};
    /// Share of peer calls that arrive and whose connection breaks soon after.
    double broken_peer_calls{0};
    /// Share of peer calls whose connection breaks and that still arrive up to seconds late.
    double late_peer_calls{0};
};

/// The caller's view of a job.
struct caller_view {
    graph_job job;
    /// Whose credential it was submitted with first; empty: nobody's.
    organisation_id organisation;
    bool was_accepted{false};
    /// A submission was accepted or had an unknown outcome.
    bool may_be_accepted{false};
    /// Submissions that a VM received, and those of them that were refused.
    std::size_t attempts{0};
    std::size_t refusals{0};
    bool was_started{false};
    bool cancel_was_accepted{false};
    /// When its cancellation was first acknowledged, as cancelled or as unknown.
    std::optional<instant> cancel_acknowledged_at;
    std::optional<job_state> shown;

    std::optional<call_result> last_result;

    [[nodiscard]] bool was_always_refused() const { return attempts > 0 && attempts == refusals; }
};

/// \return the time of day since the epoch, as VMs see it whose clocks are right.
millis wall_clock_at(instant now);

class central_world {
public:
    explicit central_world(const world_options& options);

    /// Runs until `end`.
    void run_until(instant end);
    void run_for(millis time) { run_until(now_ + time); }
    [[nodiscard]] instant now() const { return now_; }

    /// \return a job whose steps form a chain.
    static graph_job make_job(const std::string& id, std::size_t steps, std::uint32_t tasks,
                              millis run_time);
    /// Submits a job to a VM; no effect if the VM is down.
    void submit(std::size_t vm, const graph_job& job);
    void cancel(std::size_t vm, const std::string& job);
    void query(std::size_t vm, const std::string& job);

    void kill(std::size_t vm);
    void restart(std::size_t vm);
    void stop_gracefully(std::size_t vm);
    /// Pauses a VM's process when it is about to send its next start order. This order and those
    /// behind it are sent when the process resumes, and what arrived meanwhile is processed then.
    void pause_at_next_start(std::size_t vm, millis time) { vms_[vm].pause_at_next_start = time; }
    /// Sets a VM's time of day ahead of the others'.
    void set_wall_clock_ahead(std::size_t vm, millis by) { vms_[vm].wall_clock_ahead = by; }
    /// Pauses a VM's process at once. What arrives meanwhile is processed when it resumes.
    void freeze(std::size_t vm, millis time) { vms_[vm].paused_until = now_ + time; }
    [[nodiscard]] bool is_paused(std::size_t vm) const { return vms_[vm].paused_until > now_; }
    [[nodiscard]] bool is_up(std::size_t vm) const { return vms_[vm].is_up; }
    [[nodiscard]] bool is_flushing(std::size_t vm) const { return vms_[vm].is_flushing; }
    /// The runner loses all its runs and is up again at once.
    void crash_runner(std::size_t runner);
    /// The same, but another runner is up at its address.
    void replace_runner(std::size_t runner);
    /// The runner loses all its runs and cannot be reached for `crash_downtime`.
    void crash_runner_for_a_while(std::size_t runner);
    /// Changes a runner's capacity in the registry. What runs there goes on.
    void set_capacity(std::size_t runner, const resources& capacity);
    /// Marks a runner as draining in the registry.
    void drain_runner(std::size_t runner);
    void set_listed(std::size_t runner, bool listed);
    void change_manifest(const std::function<void(manifest&)>& change);
    void set_out_of_service(const std::string& domain, bool out);

    /// \return the VM that is the scheduler, if any.
    [[nodiscard]] std::optional<std::size_t> scheduler() const;
    [[nodiscard]] const central_state& state_of(std::size_t vm) const { return vms_[vm].state; }
    [[nodiscard]] const caller_view& caller(const std::string& job) const
    {
        return callers_.at(job);
    }
    /// \return true if all accepted jobs were last shown to their callers in this state.
    [[nodiscard]] bool all_done(job_state wanted) const;
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] std::uint64_t starts() const { return starts_; }
    [[nodiscard]] std::size_t commits() const { return commits_; }
    /// Rows that a VM has read, and pages that it lost to timeouts.
    [[nodiscard]] std::size_t rows_read_by(std::size_t vm) const { return vms_[vm].rows_read; }
    [[nodiscard]] std::size_t pages_lost(std::size_t vm) const { return vms_[vm].pages_lost; }
    [[nodiscard]] fake_runner& runner(std::size_t i) { return runners_[i]; }
    [[nodiscard]] std::size_t runners() const { return runners_.size(); }
    /// Credentials with which the callers of jobs call; the others call without.
    std::map<std::string, credential> keys;
    /// \return what runs of an organisation on all runners.
    [[nodiscard]] resources running_of(const organisation_id& name) const;
    /// Jobs whose tasks always fail.
    std::set<std::string> failing_jobs;
    /// Jobs whose service tasks end by themselves after their run time, as done or, if they are
    /// among `failing_jobs`, as failed.
    std::set<std::string> exiting_jobs;
    /// Run times of all tasks, divided by what their owners estimate.
    double run_time_factor{1};
    /// Writes a row of the store, as a process of an earlier version may have left it.
    void put_row(const table_key& row, const std::string& value);
    /// Tasks that crash each runner that starts them; the runner is back after `crash_downtime`.
    std::set<graph_task_id> crashing_tasks;
    static constexpr millis crash_downtime{4'000};
    /// A runner that is back after `crash_downtime` has another id.
    bool crash_changes_id{false};
    /// A crash breaks the runner's connections; otherwise it is noticed by time-outs.
    bool crash_breaks_connections{true};
    /// \return the number of runners that a task has crashed.
    [[nodiscard]] std::uint32_t crashes_by(const graph_task_id& task) const
    {
        const auto found = tasks_.find(task);
        return found == tasks_.end() ? 0 : found->second.crashes;
    }
    /// Longest time so far from the end of a task to the start of a dependent one.
    millis max_dependent_start_delay;

    /// Receives each line that a VM logs.
    std::function<void(const std::string&)> log_to;

    world_faults faults;

private:
    struct entry_vm {
        central_state state;
        bool is_up{true};
        /// Its shutdown is complete: it still receives events, but no ticks.
        bool is_flushing{false};
        bool follows_registry{false};
        std::uint64_t incarnation{0};
        instant next_tick;
        /// Runners whose reports wait.
        std::multiset<runner_id> unread_reports;
        /// When the last of the events that wait is processed.
        instant waits_until;
        bool store_was_reachable{false};
        /// See `pause_at_next_start`; 0: no pause is due.
        millis pause_at_next_start{0};
        millis wall_clock_ahead{0};
        instant paused_until;
        /// When the link has transferred all queued pages.
        instant link_free_at;
        /// Rows read and pages lost, over all incarnations.
        std::size_t rows_read{0};
        std::size_t pages_lost{0};
    };
    struct stored_row {
        std::string value;
        row_version version{0};
    };
    struct open_hold {
        std::size_t vm{0};
        std::uint64_t incarnation{0};
        runner_hold hold;
        instant sent_at;
        instant until;
        /// The runner's incarnation that holds it open.
        runner_incarnation held_by;
        bool is_bare{false};
    };
    /// Ends of a kept connection from a VM to a runner.
    struct connection_ends {
        std::uint64_t vm_incarnation{0};
        runner_incarnation runner;

        friend bool operator==(connection_ends, connection_ends) = default;
    };
    struct task_history {
        bool done_acknowledged{false};
        bool done{false};
        std::uint32_t failures_acknowledged{0};
        std::uint32_t failures{0};
        std::uint32_t crashes{0};
    };

    void schedule(instant when, std::function<void()> run);
    /// Lets an event that may be overtaken wait.
    void queue_event(std::size_t vm, const event& e);
    void deliver_event(std::size_t vm, const event& e);
    void schedule_event(std::size_t vm, std::uint64_t incarnation, millis after, event e);
    void execute(std::size_t vm, const effect& e);
    void execute(std::size_t vm, const peer_call& e);
    void execute(std::size_t vm, const answer_call& e);
    void execute(std::size_t vm, const rows_commit& e);
    void execute(std::size_t vm, const rows_read& e);
    void execute(std::size_t vm, const watch_registry& e);
    void execute(std::size_t vm, const runner_order& e);
    void execute(std::size_t vm, const runner_hold& e);
    void execute(std::size_t vm, const log_event& e);
    void execute(std::size_t vm, const shutdown_complete& e);

    /// Reports the result of a peer call to the VM that made it, unless the call has already ended.
    void end_peer_call(std::uint64_t number, millis after, std::optional<call_answer> answer);
    void record_submission_result(caller_view& view, call_result result);
    void call(std::size_t vm, call_kind kind, const std::string& job,
              std::optional<graph_job> submitted);
    /// Records a violation for each unanswered call of the VM's callers.
    void check_all_answered(std::size_t vm);
    bool apply(const rows_commit& e, row_version& version);
    [[nodiscard]] rows_read_done page_of(const rows_read& e) const;
    void deliver(std::size_t vm, std::uint64_t incarnation, const rows_read& e, instant sent_at);
    void schedule_control_rows(std::size_t vm, bool whole);
    void schedule_registry(std::size_t vm);
    /// Lets all VMs that follow the registry read it.
    void publish_registry();
    void schedule_operators(std::size_t vm);
    void poll_store_reachability(std::size_t vm);
    void start_vm(std::size_t vm);
    void answer_due_holds();
    void answer_hold(const open_hold& h);
    [[nodiscard]] bool can_reach(std::size_t vm, std::size_t runner) const;
    /// \return true if the hold's connection carries nothing any more.
    [[nodiscard]] bool is_silent(std::size_t vm, const runner_hold& hold) const;
    [[nodiscard]] bool store_answers(std::size_t vm) const;
    [[nodiscard]] std::size_t index_of(const runner_id& id) const;
    bool chance(double share);

    task_behaviour behaviour_of(const runner_order& order) const;
    /// \param was_received the runner has it already, and carries it out now.
    void deliver_order(std::size_t vm, const runner_order& order, bool was_received,
                       bool is_answered, std::uint64_t incarnation);
    /// Simulates the proof of a connection that has not shown yet which incarnation it leads to.
    /// \return why the start does not go; empty: it goes.
    std::optional<order_result> refuse_start(std::size_t vm, const runner_order& order,
                                             std::uint64_t incarnation);
    /// \return false if the kept connection breaks: a restarted runner resets it, and a start is
    /// lost while other orders are sent again.
    bool connect(std::size_t vm, const runner_order& order, std::uint64_t incarnation);
    void deliver_hold(std::size_t vm, const runner_hold& hold, std::uint64_t incarnation);
    /// Checks that the store has the place of a service task that is to start, see
    /// `task_record::placed_on`.
    void check_place(const effect& e);
    void record_unplaced_start(const runner_order& order);
    void check_start(const runner_order& order, std::size_t runner);
    /// Checks that a VM in touch orders no start of a job long after its cancellation was
    /// acknowledged.
    void check_not_cancelled(std::size_t vm, const runner_order& order);
    void check_capacity(std::size_t runner);
    /// Checks that the organisation has no more running than its quota, by the highest of the
    /// manifests that may have been in force when the start was ordered: a runner may carry it out
    /// seconds later.
    void check_quota(const runner_order& order);
    /// Crashes the runner soon if the task does that.
    void schedule_crash(const graph_task_id& task, std::size_t runner);
    void check_acknowledged(const reported_end& e);
    /// \return true if the store accepts the transaction's size and its rows.
    [[nodiscard]] bool is_valid(const rows_commit& e) const;
    /// \return the job's stored progress, or null.
    [[nodiscard]] const stored_progress* find_progress(const job_id& job) const;
    /// \return the runner on which the task can run according to the store; empty: none.
    [[nodiscard]] runner_id stored_place_of(const graph_task_id& id) const;
    [[nodiscard]] bool is_stored_as_done(const graph_task_id& id) const;
    /// \return true if the task is restarted however its runs end.
    [[nodiscard]] bool is_service_task(const graph_task_id& id) const;
    void record_violation(const std::string& text);

    world_options options_;
    std::mt19937_64 random_;
    instant now_{1'000};
    std::uint64_t next_action_number_{0};
    std::multimap<std::pair<instant, std::uint64_t>, std::function<void()>> actions_;
    std::vector<entry_vm> vms_;
    std::vector<fake_runner> runners_;
    std::vector<bool> listed_;
    /// Entries of replaced runners.
    std::vector<runner_entry> replaced_;
    /// Runners that are down after a crash.
    std::set<std::size_t> crashed_runners_;
    std::map<table_key, stored_row> rows_;
    struct decoded_progress {
        row_version version{0};
        absl::StatusOr<stored_progress> progress{absl::NotFoundError("")};
    };
    /// Progress of each job as it was last decoded.
    mutable std::map<job_id, decoded_progress> decoded_;
    row_version last_version_{0};
    operator_configuration operators_;
    /// Earlier manifests, and when each was replaced.
    std::vector<std::pair<instant, manifest>> replaced_manifests_;
    /// When each start was ordered.
    std::map<std::pair<graph_task_id, run_number>, instant> ordered_at_;
    std::vector<open_hold> holds_;
    /// Connections that carried a VM's last report from a runner, and those for its orders.
    std::map<std::pair<std::size_t, runner_id>, connection_ends> hold_connections_;
    std::map<std::pair<std::size_t, runner_id>, connection_ends> order_connections_;
    /// Pairs (VM, runner) with a connection that was opened after the others went silent.
    std::set<std::pair<std::size_t, runner_id>> fresh_connections_;
    std::map<std::string, caller_view> callers_;
    struct client_call {
        std::string job;
        call_kind kind;
        std::size_t vm;
        std::uint64_t incarnation;
    };
    std::map<std::uint64_t, client_call> client_calls_;
    /// Origin of a peer call; keyed by the handle at the VM that receives it.
    struct peer_origin {
        std::size_t vm;
        std::uint64_t incarnation;
        call_handle handle;
        std::uint32_t attempt{0};
        /// The answer is dropped.
        bool answer_is_lost{false};
    };
    std::map<std::uint64_t, peer_origin> peer_calls_;
    std::uint64_t last_handle_{0};
    std::map<graph_task_id, task_history> tasks_;
    std::map<graph_task_id, instant> done_at_;
    /// Starts that were ordered although the store had another place.
    std::set<std::pair<graph_task_id, run_number>> unplaced_starts_;
    std::vector<std::string> violations_;
    std::uint64_t starts_{0};
    std::size_t commits_{0};
};

} // namespace cuminmoor::central::test
