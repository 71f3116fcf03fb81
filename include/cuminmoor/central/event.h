/// \file
/// Events and effects of the central scheduler: everything that it is told and can ask for.
#pragma once

#include <cstdint>
#include <optional>
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

/// Identifies a call that waits for its answer; calls of callers and of peers share the numbers.
using call_handle = number_id<struct call_tag>;

enum class call_kind : std::uint8_t { submit, query, cancel, count_pending };

/// What a VM can carry, from its settings.
struct vm_capacity {
    /// Its share of a core, in thousandths.
    std::int64_t milli_cores{0};
    /// Bandwidth of its link.
    std::int64_t link_kbit_per_s{0};

    bool operator==(const vm_capacity&) const = default;
};

/// A call after its queue was found; what one entry VM passes on to the scheduler's.
struct job_call {
    call_kind kind{call_kind::query};
    queue_id queue;
    /// Version of the manifest that the queue was found in.
    std::uint64_t manifest_version{0};
    /// Empty for `count_pending`.
    job_id job;
    /// Set for `submit`.
    std::optional<graph_job> submitted;
    /// The VM that passes it on; empty before that.
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
    /// Certainly not taken in; carries `retry_after`.
    overloaded,
    /// Certainly not taken in; carries `retry_after`.
    unavailable,
    /// May or may not have been taken in.
    outcome_unknown,
    /// From a peer only: it does not hold the lease, and has not taken the call in.
    not_scheduler,
};

struct call_answer {
    call_result result{call_result::unavailable};
    job_state state{job_state::queued};
    std::uint64_t pending{0};
    millis retry_after{};
};

/// Event: a caller's request, as it was read.
struct caller_call {
    call_handle handle;
    call_kind kind{call_kind::query};
    std::string host;
    std::string path;
    /// Set for `submit`, unless the body could not be read.
    std::optional<graph_job> submitted;
    /// How long the caller waits.
    millis timeout;
};

/// Event: a peer passes on a call.
struct peer_call_received {
    call_handle handle;
    job_call call;
    /// How long the peer waits.
    millis timeout;
};

/// Event: a peer's answer, or none.
struct peer_call_ended {
    call_handle handle;
    /// False when no byte of the call left this process.
    bool sent{true};
    std::optional<call_answer> answer;
};

/// Effect: pass a call on to the VM that schedules.
struct peer_call {
    call_handle handle;
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
    /// The scheduler's lease, and what each entry VM can carry; every entry VM follows both.
    control,
    /// Newest commit of the scheduler's term: the precondition of its next one.
    head,
    /// Jobs as they were submitted.
    jobs,
    /// How far they are.
    progress,
    /// Runners on which something may run, also while the register does not list them.
    used_runners,
    /// One row: which images disturb each other, as far as it is known.
    disturbance,
    /// What the operator wrote; only read.
    operators,
    /// The runners' register; only read.
    runners,
};

struct table_key {
    table where{table::control};
    std::string key;

    auto operator<=>(const table_key&) const = default;
};

struct row_precondition {
    table_key row;
    /// 0: must be absent.
    row_version version{0};
};

/// Writes the value, or removes the row when there is none.
struct row_change {
    table_key row;
    std::optional<std::string> value;
};

enum class commit_purpose : std::uint8_t { lease, progress, capacity };

/// Effect: one transaction.
struct rows_commit {
    commit_purpose purpose{commit_purpose::progress};
    std::uint64_t number{0};
    std::vector<row_precondition> preconditions;
    std::vector<row_change> changes;
};

/// Event: its end.
struct rows_committed {
    commit_purpose purpose{commit_purpose::progress};
    std::uint64_t number{0};
    store_outcome outcome{store_outcome::unknown};
    /// Version of all rows written when `outcome` is ok.
    row_version version{0};
};

/// Effect: read a table from a key on.
struct rows_read {
    table where{table::control};
    std::string from;
    /// Most rows to give; 0: as many as the store gives.
    std::uint32_t limit{0};
    millis timeout{config::read_timeout};
};

struct table_row {
    std::string key;
    std::string value;
    row_version version{0};
};

/// Event: one page of a table.
struct rows_read_done {
    table where{table::control};
    bool ok{false};
    std::vector<table_row> rows;
    bool has_more{false};
    /// Newest version in the store when it was read.
    row_version as_of{0};
};

/// What a runner says of itself in the register.
struct runner_entry {
    runner_id id;
    service_id service;
    std::string address;
    failure_domain_id failure_domain;
    std::vector<std::string> labels;
    resources capacity;
    bool draining{false};
    /// Wall-clock start of this life; 0: not told.
    std::int64_t started_at_ms{0};
};

/// Event: the register changed, or was read anew.
struct registry_changed {
    /// Entries that are not in `present` are gone.
    bool is_snapshot{false};
    std::vector<runner_entry> present;
    std::vector<runner_id> removed;
};

/// Event: what the operator wrote changed, or was read anew.
struct operator_changed {
    operator_configuration view;
};

/// Event: rows of the scheduler's lease changed, or were read anew.
struct control_changed {
    bool is_snapshot{false};
    std::vector<table_row> rows;
};

/// Event: the store was lost or is back.
struct store_reachable {
    bool reachable{false};
};

/// Effect: follow the register from now on, or no longer.
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
};

/// Event: the result of an order.
struct runner_order_ended {
    order_kind kind{order_kind::start};
    runner_id runner;
    graph_task_id task;
    run_number run;
    order_result result{order_result::unknown};
    std::uint32_t percent{100};
    /// The runner's clock at its answer; empty without one.
    std::optional<remote_instant> clock;
    /// Term of the order.
    term_number term;
};

/// Effect: a long poll that extends the leases of all runs on the runner, acknowledges ends and
/// returns a report of its runs.
struct runner_hold {
    runner_id runner;
    std::string address;
    term_number term;
    std::optional<remote_instant> lease_until;
    std::uint64_t acknowledged{0};
    /// The runner answers when a run ends, or after this time.
    millis wait;
    millis timeout;
};

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
    /// Term of the hold.
    term_number term;
};

// ---- Process -------------------------------------------------------------------------------

struct tick {};
struct stop_requested {};

using event = std::variant<tick, stop_requested, caller_call, peer_call_received, peer_call_ended,
                           rows_committed, rows_read_done, registry_changed, operator_changed,
                           control_changed, store_reachable, runner_order_ended, runner_hold_ended>;

using effect = std::variant<peer_call, answer_call, rows_commit, rows_read, watch_registry,
                            runner_order, runner_hold, log_event, shutdown_complete>;

/// Effects of one decision, in the order in which they are to be executed.
using effects = std::vector<effect>;

} // namespace cuminmoor::central
