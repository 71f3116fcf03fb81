/// \file
/// Compile-time limits and periods. The type or the name of each constant states its unit.
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
/// Configuration changes older than a snapshot that stay in the table, for readers that lag.
inline constexpr std::uint64_t changes_kept{128};
inline constexpr std::size_t max_recent_changes{64};
inline constexpr std::size_t max_changes_per_read{256};
inline constexpr std::size_t max_changes_per_datagram{8};
/// Longer than `peer_timeout`, as the entry VMs of another failure domain get heartbeats in
/// rotation.
inline constexpr millis remote_peer_timeout{10'000};
/// Time for which a VM must be missing from the platform's list before it is considered gone.
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
/// Margin for clock drift: the holder stops acting this long before its lease ends.
inline constexpr millis lease_margin{500};

// Scheduling.
inline constexpr millis commit_period{100};
inline constexpr millis worker_sync_period{1'000};
/// Time after the commit of an assignment within which the worker may still start the task.
inline constexpr millis start_validity{1'000};
/// Lease of running tasks on a worker; long enough to outlast a long outage of the store.
inline constexpr millis task_lease{600'000};
inline constexpr millis inbox_poll{500};
inline constexpr std::size_t max_records_per_commit{256};
inline constexpr std::uint64_t commits_per_checkpoint{64};
/// A checkpoint is due when the log written since the last one is this many times its size,
inline constexpr std::size_t log_bytes_per_checkpoint_byte{4};
/// or has this many commits, which bounds the time that it takes to replay the log.
inline constexpr std::uint64_t max_commits_per_checkpoint{1'024};
inline constexpr std::size_t max_log_rows_trimmed{64};
/// Maximum number of rows of each kind that one inbox scan reads.
inline constexpr std::size_t inbox_scan_limit{128};
inline constexpr std::size_t log_page_rows{1'000};
/// Minimum time between two writes of a job's summary, except at the job's admission and end.
inline constexpr millis summary_period{5'000};
inline constexpr std::size_t max_summaries_per_commit{32};
/// How long an ended job stays in the ledger.
inline constexpr millis ended_job_retention{30'000};
/// The same for a job with a task that was moved to another failure domain and may return.
inline constexpr millis moved_job_retention{21'600'000};
/// Maximum age of a worker's report for starting tasks on that worker.
inline constexpr millis max_report_age{3'000};
/// Time after which a sync with a worker is considered lost.
inline constexpr millis worker_sync_timeout{5'000};
/// Time after which a new lease holder considers a worker gone that it has never seen listed.
inline constexpr millis unlisted_worker_grace{10'000};
/// An observer that can't read the lease row for this long renews the workers' leases itself.
inline constexpr millis observer_keep_alive_after{60'000};
inline constexpr millis observer_keep_alive_period{60'000};
/// A task fails permanently after failed attempts on this many different workers,
inline constexpr std::size_t max_failed_workers{3};
/// or after this many failed attempts in total.
inline constexpr std::uint32_t max_failed_attempts{6};
inline constexpr std::uint32_t max_tasks_per_job{10'000};
/// Maximum number of waiting tasks that one commit considers for placement.
inline constexpr std::size_t max_waiting_examined{512};
/// Maximum number of waiting tasks that one commit scans and groups by team.
inline constexpr std::size_t max_waiting_walked{2'048};

// Policies.
/// Learning rate of the interference estimates; 1 would fit each new report completely, without
/// smoothing.
inline constexpr double interference_step = 0.1;
/// Relative growth per report of a service's baseline latency, the best tail latency observed, so
/// that old minima expire.
inline constexpr double best_latency_growth = 0.0002;
/// Placements whose predicted latency rises differ by less than this are treated as equal.
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
/// A slot that moves to another entry VM stays unused for this long, until both know of the move.
inline constexpr millis slot_handover{1'500};
/// A slot whose dispatch was lost or dropped is considered occupied for this long.
inline constexpr millis lost_slot_hold{1'000};
/// Added to each entry VM's demand when slots are distributed; the demand of an idle entry VM.
inline constexpr std::uint64_t demand_floor{16};
/// Each entry VM's weight is at least the mean demand divided by this.
inline constexpr std::uint64_t mean_demand_divisor{4};
/// Initial backoff for a backend server that refused or lost a request; doubles up to the cap.
inline constexpr millis backend_backoff_base{100};
inline constexpr millis backend_backoff_cap{3'000};
/// An idempotent request is retried on another runner when its dispatch takes this many times the
/// usual service time.
inline constexpr std::int64_t attempt_timeout_service_times{8};
/// Lower bound of the resulting timeout.
inline constexpr millis min_attempt_timeout{250};
/// Maximum number of dispatches of one request, including the first.
inline constexpr std::uint32_t max_dispatches{4};
inline constexpr std::uint32_t max_spills{2};
inline constexpr std::int64_t spills_in_flight_per_vm{64};
/// Retries allowed per thousand first dispatches of a service.
inline constexpr std::int64_t retry_budget_permille{100};
/// Maximum number of unused retries that a service may accumulate; also its initial number.
inline constexpr std::int64_t retry_budget_cap{32};
/// Maximum number of turns by which an urgent deadline may put a caller ahead of the others.
inline constexpr std::uint64_t urgent_turns{8};
/// Time after a request's deadline for which the response of its dispatch is still awaited.
inline constexpr millis dispatch_linger{1'000};
/// Half-life of a service time estimate that gets no new samples.
inline constexpr millis service_time_half_life{5'000};

// Claims of non-idempotent requests.
inline constexpr std::size_t max_open_claims{512};
/// Responses larger than this are not stored for replay to repeated requests.
inline constexpr std::size_t max_stored_answer_bytes{std::size_t{64} << 10U};
inline constexpr millis claim_poll_base{50};
inline constexpr millis claim_poll_cap{1'000};
/// Time for which the write of a claim's outcome is retried while the store does not accept it.
inline constexpr millis claim_settle_patience{30'000};
inline constexpr millis claim_settle_patience_when_stopping{5'000};

// Store.
inline constexpr millis store_timeout{1'500};
inline constexpr millis store_retry_base{100};
inline constexpr millis store_retry_cap{2'000};

} // namespace cuminmoor::config
