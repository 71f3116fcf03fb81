/// \file
/// Compile-time limits and periods, each with its unit in its type or name.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cuminmoor/clock.h"

namespace cuminmoor::config {

// Control loop.
inline constexpr millis tick_period{50};

// Configuration and membership.
inline constexpr millis configuration_poll{1'000};
inline constexpr millis heartbeat_period{500};
inline constexpr millis peer_timeout{2'500};
inline constexpr millis vm_list_poll{1'000};
inline constexpr std::uint64_t changes_per_snapshot{32};
/// Steps kept in the table behind a snapshot, for readers that lag.
inline constexpr std::uint64_t changes_kept{128};
inline constexpr std::size_t max_recent_changes{64};
inline constexpr std::size_t max_changes_per_read{256};
inline constexpr std::size_t max_changes_per_datagram{8};
/// Entry VMs of other failure domains get a heartbeat in turn.
inline constexpr millis remote_peer_timeout{10'000};
/// A VM must be missing from the platform's list this long to count as gone.
inline constexpr millis gone_confirmation{3'000};
inline constexpr std::size_t max_leaving_per_heartbeat{32};

// Commands.
inline constexpr millis command_timeout{8'000};
inline constexpr millis command_retry{200};
inline constexpr std::size_t max_jobs_per_list{1'000};
inline constexpr std::size_t max_jobs_per_cancel{1'000};

// Scheduler lease of a failure domain.
inline constexpr millis lease_length{3'000};
inline constexpr millis lease_renewal{1'000};
/// Covers clock drift: the holder stops this long before its lease ends.
inline constexpr millis lease_margin{500};

// Scheduling.
inline constexpr millis commit_period{100};
inline constexpr millis worker_sync_period{1'000};
/// How long after its commit a start may still reach the worker.
inline constexpr millis start_validity{1'000};
/// Lease of running tasks on a worker; outlives a long outage of the store.
inline constexpr millis task_lease{600'000};
inline constexpr millis inbox_poll{500};
inline constexpr std::size_t max_records_per_commit{256};
inline constexpr std::uint64_t commits_per_checkpoint{64};
/// A checkpoint is due when the log behind the newest one holds this many times its bytes,
inline constexpr std::size_t log_bytes_per_checkpoint_byte{4};
/// or this many commits, so that reading the log back stays short.
inline constexpr std::uint64_t max_commits_per_checkpoint{1'024};
inline constexpr std::size_t max_log_rows_trimmed{64};
/// Rows of each kind that one scan of the inbox reads.
inline constexpr std::size_t inbox_scan_limit{128};
inline constexpr std::size_t log_page_rows{1'000};
/// Least time between two writes of a job's summary, but for its admission and end.
inline constexpr millis summary_period{5'000};
inline constexpr std::size_t max_summaries_per_commit{32};
/// How long an ended job stays in the ledger.
inline constexpr millis ended_job_retention{30'000};
/// The same for a job of which some task was moved away and may come back.
inline constexpr millis moved_job_retention{21'600'000};
/// No task is started on a worker whose report is older.
inline constexpr millis max_report_age{3'000};
/// After this an exchange with a worker counts as lost.
inline constexpr millis worker_sync_timeout{5'000};
/// A new holder takes a worker that it has never seen listed as gone after this.
inline constexpr millis unlisted_worker_grace{10'000};
/// An observer that can't read the lease for this long renews the workers' leases itself.
inline constexpr millis observer_keep_alive_after{60'000};
inline constexpr millis observer_keep_alive_period{60'000};
/// A task is given up after attempts on this many different workers failed,
inline constexpr std::size_t max_failed_workers{3};
/// or after this many failed attempts in all.
inline constexpr std::uint32_t max_failed_attempts{6};
inline constexpr std::uint32_t max_tasks_per_job{10'000};
/// Waiting tasks that one commit looks at.
inline constexpr std::size_t max_waiting_examined{512};
/// Waiting tasks that one commit sorts by team.
inline constexpr std::size_t max_waiting_walked{2'048};

// Policies.
/// Step of the interference estimates towards a new report; 1 would believe it whole.
inline constexpr double interference_step = 0.1;
/// How fast the best tail latency seen of a service is forgotten, per report.
inline constexpr double best_latency_growth = 0.0002;
/// Placements whose predicted rises differ by less than this count as equal.
inline constexpr double rise_hysteresis = 0.02;
/// See `policy_weights::max_rise`, by preset.
inline constexpr double ordinary_max_rise = 0.15;
inline constexpr double peak_max_rise = 0.05;
inline constexpr double maintenance_max_rise = 0.5;

// Requests.
inline constexpr std::int64_t slots_per_runner{8};
inline constexpr std::int64_t connections_per_runner{64};
inline constexpr std::size_t max_queued_requests{512};
inline constexpr std::size_t max_body_bytes{std::size_t{1} << 20U};
inline constexpr millis default_request_deadline{10'000};
inline constexpr millis max_request_deadline{120'000};
/// Bodies of all open requests of an entry VM, in bytes.
inline constexpr std::size_t max_open_body_bytes{std::size_t{64} << 20U};
/// A slot that changes its entry VM rests this long, until both have heard of the change.
inline constexpr millis slot_handover{1'500};
/// A slot whose dispatch was lost or dropped counts as taken for this long.
inline constexpr millis lost_slot_hold{1'000};
/// Demand that an idle entry VM is counted with when slots are shared out.
inline constexpr std::uint64_t demand_floor{16};
/// Each entry VM counts with at least the mean demand divided by this.
inline constexpr std::uint64_t mean_demand_divisor{4};
/// First pause of a backend server that refused or lost a request; doubles up to the cap.
inline constexpr millis backend_backoff_base{100};
inline constexpr millis backend_backoff_cap{3'000};
/// An idempotent request is tried elsewhere when its dispatch takes this many times the usual.
inline constexpr std::int64_t attempt_timeout_service_times{8};
/// Lower bound of that time.
inline constexpr millis min_attempt_timeout{250};
/// Dispatches of one request, the first one included.
inline constexpr std::uint32_t max_dispatches{4};
inline constexpr std::uint32_t max_spills{2};
inline constexpr std::int64_t spills_in_flight_per_vm{64};
/// Retries allowed per thousand first dispatches of a service.
inline constexpr std::int64_t retry_budget_permille{100};
/// Retries that a service may save up, and starts with.
inline constexpr std::int64_t retry_budget_cap{32};
/// Turns that a caller may be ahead of the others for the sake of an urgent deadline.
inline constexpr std::uint64_t urgent_turns{8};
/// How long the answer of a dispatch is still waited for after its deadline.
inline constexpr millis dispatch_linger{1'000};
/// Half-life of a service time estimate without new samples.
inline constexpr millis service_time_half_life{5'000};

// Claims of non-idempotent requests.
inline constexpr std::size_t max_open_claims{512};
/// Answers above this size are not kept for repeats.
inline constexpr std::size_t max_stored_answer_bytes{std::size_t{64} << 10U};
inline constexpr millis claim_poll_base{50};
inline constexpr millis claim_poll_cap{1'000};
/// How long the outcome of a claim is offered to a store that does not take it.
inline constexpr millis claim_settle_patience{30'000};
inline constexpr millis claim_settle_patience_when_stopping{5'000};

// Store.
inline constexpr millis store_timeout{1'500};
inline constexpr millis store_retry_base{100};
inline constexpr millis store_retry_cap{2'000};

} // namespace cuminmoor::config
