/// \file
/// Events and effects of the central scheduler: its inputs and the actions that it requests.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cuminmoor/central/config.h"
#include "cuminmoor/central/graph_job.h"
#include "cuminmoor/central/manifest.h"
#include "cuminmoor/effect.h"

namespace cuminmoor::central {

// ---- Callers -------------------------------------------------------------------------------

/// Identifies an open call. Calls from callers and from peers share one number space.
using call_handle = number_id<struct call_tag>;

enum class call_kind : std::uint8_t { submit, query, cancel, count_pending };

/// Capacity of an entry VM, from its settings.
struct vm_capacity {
    /// Its share of a core, in thousandths.
    std::int64_t milli_cores{0};
    /// Bandwidth of its link.
    std::int64_t link_kbit_per_s{0};

    bool operator==(const vm_capacity&) const = default;
};

/// A call whose queue was resolved. Entry VMs forward calls to the scheduler's VM in this form.
struct job_call {
    call_kind kind{call_kind::query};
    queue_id queue;
    /// Version of the manifest in which the queue was found.
    std::uint64_t manifest_version{0};
    /// Empty for `count_pending`.
    job_id job;
    /// Set for `submit`.
    std::optional<graph_job> submitted;
    /// Whose credential the call had; empty: none.
    organisation_id organisation;
    /// The VM that forwarded the call; empty if none did.
    vm_id forwarded_by;
};

enum class call_result : std::uint8_t {
    accepted,
    /// Carries `state`.
    state,
    /// Carries `pending`.
    pending,
    cancelled,
    unknown_job,
    unknown_queue,
    malformed,
    /// Certainly not accepted; carries `retry_after`.
    overloaded,
    /// Certainly not accepted; carries `retry_after`.
    unavailable,
    /// The call may or may not have been accepted.
    outcome_unknown,
    /// From a peer only: the peer does not hold the lease and has not accepted the call.
    not_scheduler,
    /// The queue requires a credential of an organisation.
    unauthenticated,
};

struct call_answer {
    call_result result{call_result::unavailable};
    job_state state{job_state::queued};
    std::uint64_t pending{0};
    millis retry_after{};
    /// From a peer only: how long it held the call, from its `peer_call_received` to this answer.
    /// Empty if the peer does not report it.
    std::optional<millis> held{};
};

/// Event: a caller's request was read.
struct caller_call {
    call_handle handle;
    call_kind kind{call_kind::query};
    std::string host;
    std::string path;
    /// Set for `submit` unless the body is malformed.
    std::optional<graph_job> submitted;
    /// Time from now after which the caller gives up.
    millis timeout;
    /// Empty if the request had none.
    credential key{};
    /// The body was not parsed, as `check_caller` refused the call.
    bool is_body_unread{false};
};

/// Event: a peer has forwarded a call.
struct peer_call_received {
    call_handle handle;
    job_call call;
    /// Time from now after which the peer gives up.
    millis timeout;
};

/// Event: a forwarded call ended, with the peer's answer if one arrived.
struct peer_call_ended {
    call_handle handle;
    /// As in the `peer_call`.
    std::uint32_t attempt{0};
    /// False when no byte of the call left this process.
    bool sent{true};
    std::optional<call_answer> answer;
};

/// Effect: forward a call to the scheduler's VM.
struct peer_call {
    call_handle handle;
    /// Number of this attempt to forward the call.
    std::uint32_t attempt{0};
    std::string address;
    job_call call;
    millis timeout;
};

/// Effect: answer a caller or a peer.
struct answer_call {
    call_handle handle;
    call_answer answer;
};

// ---- Store ---------------------------------------------------------------------------------

enum class table : std::uint8_t {
    /// The scheduler's lease and the capacities of the entry VMs; watched by every entry VM.
    control,
    /// The head row: the term and number of the newest commit. Its version is a precondition of the
    /// next commit.
    head,
    /// Jobs as submitted.
    jobs,
    /// Progress of the jobs.
    progress,
    /// Runners on which runs may exist, including those that the registry does not list.
    used_runners,
    /// One row: the disturbance model, which estimates which images disturb each other.
    disturbance,
    /// The operator's configuration; read only.
    operators,
    /// The runner registry; read only.
    runners,
};

struct table_key {
    table table_id{table::control};
    std::string key;

    auto operator<=>(const table_key&) const = default;
};

struct row_precondition {
    table_key row;
    /// 0: the row must not exist.
    row_version version{0};
};

/// Writes a row, or deletes it when `value` is not set.
struct row_change {
    table_key row;
    std::optional<std::string> value;
};

enum class commit_purpose : std::uint8_t { lease, progress, capacity };

/// Effect: execute a transaction.
struct rows_commit {
    commit_purpose purpose{commit_purpose::progress};
    std::uint64_t number{0};
    std::vector<row_precondition> preconditions;
    std::vector<row_change> changes;
};

/// Event: the result of a transaction.
struct rows_committed {
    commit_purpose purpose{commit_purpose::progress};
    std::uint64_t number{0};
    store_outcome outcome{store_outcome::unknown};
    /// Version of all written rows when `outcome` is ok.
    row_version version{0};
};

/// Effect: read a page of a table, starting at key `from`.
struct rows_read {
    table table_id{table::control};
    std::string from;
    /// Maximum number of rows; 0: the store's own limit.
    std::uint32_t limit{0};
    millis timeout{config::read_timeout};
};

struct table_row {
    std::string key;
    std::string value;
    row_version version{0};
};

/// Event: a page of a table was read, or the read failed.
struct rows_read_done {
    table table_id{table::control};
    bool ok{false};
    std::vector<table_row> rows;
    bool has_more{false};
    /// The store's newest version at the time of the read.
    row_version as_of{0};
};

/// A runner's entry in the registry.
struct runner_entry {
    runner_id id;
    service_id service;
    std::string address;
    failure_domain_id failure_domain;
    std::vector<std::string> labels;
    resources capacity;
    bool draining{false};
    /// Wall-clock start of this incarnation; 0: unknown.
    std::int64_t started_at_ms{0};
};

/// Event: the runner registry changed, or was read as a whole.
struct registry_changed {
    /// Runners that are not in `present` are no longer registered.
    bool is_snapshot{false};
    std::vector<runner_entry> present;
    std::vector<runner_id> removed;
};

/// Event: the operator's configuration changed, or was read as a whole.
struct operator_changed {
    operator_configuration view;
};

/// Event: rows of the control table changed, or were read as a whole.
struct control_changed {
    bool is_snapshot{false};
    std::vector<table_row> rows;
};

/// Event: the store became reachable or unreachable.
struct store_reachable {
    bool reachable{false};
};

/// Effect: start or stop watching the runner registry.
struct watch_registry {
    bool wanted{false};
};

// ---- Runners -------------------------------------------------------------------------------

enum class order_kind : std::uint8_t { start, stop, pace };

enum class order_result : std::uint8_t {
    done,
    /// The runner has seen a higher term.
    fenced,
    /// Not started by this order: a run with this or a higher number was stopped or ended there,
    /// possibly this run itself.
    superseded,
    /// Not started: its lease had expired on the runner's clock.
    expired,
    /// Not started: not enough free capacity.
    no_capacity,
    /// Not executed: the runner is unhealthy.
    unhealthy,
    /// Not executed: another incarnation answers at the runner's address.
    other_incarnation,
    malformed,
    /// The order was certainly not sent.
    not_sent,
    /// The order may be executed, now or later.
    unknown,
};

/// Effect: send an order to start, stop or pace one run.
struct runner_order {
    order_kind kind{order_kind::start};
    runner_id runner;
    std::string address;
    term_number term;
    graph_task_id task;
    run_number run;
    /// start: the job's payload.
    std::string payload;
    /// start: the checkpoint to resume from; empty: start from the beginning.
    std::string checkpoint;
    /// start: end of the lease on the runner's clock.
    remote_instant lease_until;
    /// pace: percent of full speed.
    std::uint32_t percent{100};
    /// start of a service task that ran before: time from the end of its last run. For metrics.
    std::optional<millis> waited{};
    /// `runner_entry::started_at_ms` as known when the order was given. A start goes to no other
    /// incarnation; one with the same id executes other orders all the same.
    std::int64_t runner_started_at_ms{0};
};

/// Event: the result of an order.
struct runner_order_ended {
    order_kind kind{order_kind::start};
    runner_id runner;
    graph_task_id task;
    run_number run;
    order_result result{order_result::unknown};
    std::uint32_t percent{100};
    /// The runner's clock when it answered; empty if it did not answer.
    std::optional<remote_instant> clock;
    /// Term of the order.
    term_number term;
    /// As in the order.
    std::int64_t runner_started_at_ms{0};
};

/// Effect: a long poll that extends the leases of all runs on the runner, acknowledges ends and
/// returns a report of its runs.
///
/// Lease and acknowledgement are meant for the incarnation of the last report, so they go over the
/// connection that carried it. If that is gone, the hold goes without them and without a wait.
struct runner_hold {
    runner_id runner;
    std::string address;
    term_number term;
    std::optional<remote_instant> lease_until;
    std::uint64_t acknowledged{0};
    /// The runner answers when a run ends, or after this time.
    millis wait;
    millis timeout;
    /// Open a new connection, as the kept ones may have failed without a sign.
    bool fresh_connection{false};
};

/// \return the hold as it goes over any connection but the one that carried the last report.
inline runner_hold bare(runner_hold hold)
{
    hold.lease_until.reset();
    hold.acknowledged = 0;
    hold.wait = {};
    return hold;
}

struct reported_run {
    graph_task_id task;
    run_number run;
    std::string checkpoint;
    std::uint32_t percent{0};
    /// Tail latency in ms for a service task, otherwise processor use in thousandths of a core.
    /// Approximate, over the last half second.
    std::int64_t load{0};
};

enum class end_cause : std::uint8_t {
    done,
    failed,
    stopped,
    lease_expired,
    gang_broken,
    gang_incomplete,
};

struct reported_end {
    std::uint64_t number{0};
    graph_task_id task;
    run_number run;
    end_cause cause{end_cause::failed};
    std::string checkpoint;
};

/// Event: the result of a hold.
struct runner_hold_ended {
    runner_id runner;
    order_result result{order_result::unknown};
    remote_instant clock;
    std::int64_t started_at_ms{0};
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
    /// `ended` may lack later ends: the runner lists them once these are acknowledged.
    bool has_more_ends{false};
    /// The hold went without lease and acknowledgement, see `runner_hold`.
    bool was_bare{false};
    /// Term of the hold.
    term_number term;
};

// ---- Process -------------------------------------------------------------------------------

/// The time in `central_state::wake_at` has come. Only ticks run the checks of runners.
struct tick {
    /// Runners whose reports have arrived and were not processed yet: no check takes one of them
    /// for silent.
    std::set<runner_id> unread_reports;
};
struct stop_requested {};

using event = std::variant<tick, stop_requested, caller_call, peer_call_received, peer_call_ended,
                           rows_committed, rows_read_done, registry_changed, operator_changed,
                           control_changed, store_reachable, runner_order_ended, runner_hold_ended>;

/// \return true for results from runners. All other events may be processed before these, but these
/// keep their order of arrival among each other.
inline bool may_be_overtaken(const event& e)
{
    return std::holds_alternative<runner_hold_ended>(e) ||
           std::holds_alternative<runner_order_ended>(e);
}

/// \return the runner whose report the event is, or null.
inline const runner_id* reporting_runner(const event& e)
{
    const auto* const ended = std::get_if<runner_hold_ended>(&e);
    return ended != nullptr && ended->result == order_result::done ? &ended->runner : nullptr;
}

using effect = std::variant<peer_call, answer_call, rows_commit, rows_read, watch_registry,
                            runner_order, runner_hold, log_event, shutdown_complete>;

/// Effects of one reducer step, in the order of execution.
using effects = std::vector<effect>;

} // namespace cuminmoor::central
