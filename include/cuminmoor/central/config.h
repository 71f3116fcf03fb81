/// \file
/// Periods and limits of central scheduling. The type or name gives the unit.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cuminmoor/clock.h"

namespace cuminmoor::central::config {

/// Longest time between two periodic checks of the reducer.
inline constexpr millis tick_period{100};
/// Minimum time between checks that run with other events, as a tick is due but waits.
inline constexpr millis min_check_interval{5};

// The scheduler's lease.
/// A lease whose row has not changed for this long may be claimed by another VM.
inline constexpr millis lease_length{3'000};
inline constexpr millis lease_renewal{1'000};
inline constexpr millis lease_retry{200};
/// Minimum time between two renewals if the later one is early because a runner was lost or its
/// report is overdue; or because one was found or a new holder is ready, as leases are not extended
/// until then, or because leases of a lost runner have expired.
inline constexpr millis renewal_after_loss{500};
inline constexpr millis renewal_after_find{50};
/// A holder that has not renewed its lease for this long stops sending orders and extending run
/// leases. The next holder waits this much longer for runners that it cannot reach.
inline constexpr millis max_time_without_renewal{6'000};
/// Claims are spread over this time so that entry VMs do not conflict.
inline constexpr std::int64_t claim_jitter_ms{200};
/// Additional delay of claims by VMs with insufficient capacity.
inline constexpr millis small_vm_claim_delay{600};
/// A VM with insufficient capacity claims only after the store has answered it for this long. In
/// this time a larger one whose transaction the store did not answer gives it up, retries and wins.
inline constexpr millis small_vm_claim_wait{2'400};
/// Minimum share of the largest VM's capacity, in percent, that counts as sufficient.
inline constexpr std::int64_t sufficient_capacity_percent{60};
/// A holder with insufficient capacity keeps the lease at least this long before it hands it over.
inline constexpr millis min_hold_before_handover{2'000};
/// A VM that forwarded a call within this time is considered alive.
inline constexpr millis peer_liveness_window{1'500};
/// While a VM with insufficient capacity holds the lease, one with sufficient capacity writes its
/// capacity row again after this time, as a sign that it lives and reaches the store.
inline constexpr millis capacity_announcement_period{1'000};
/// A new holder that has loaded no page for this long releases the lease.
inline constexpr millis loading_timeout{6'000};
inline constexpr millis capacity_write_retry{1'000};

// Reads of the store.
/// For a single row, and for reads that check whether the store is reachable.
inline constexpr millis read_timeout{800};
/// For a page of a table.
inline constexpr millis page_timeout{1'500};
/// Pages grow up to the size that is expected to arrive in this time.
inline constexpr millis target_page_time{page_timeout.count / 2};
/// After a page that arrived within this time, the next one may grow even if the throughput did not
/// increase.
inline constexpr millis fast_page_time{100};
/// At 2 Mbit/s, this many rows with the longest job text arrive in half of `target_page_time`.
inline constexpr std::uint32_t initial_page_rows{12};
/// Rows of watched tables are short, so the first page can be larger.
inline constexpr std::uint32_t initial_feed_page_rows{64};
inline constexpr std::uint32_t min_page_rows{4};
/// The store's own limit.
inline constexpr std::uint32_t max_page_rows{500};
inline constexpr double max_page_growth{8};
/// Pages keep growing while the rows per millisecond increase by at least this factor.
inline constexpr double min_page_speedup{1.5};
/// The page size is divided by this after a timeout.
inline constexpr std::uint32_t page_shrink_divisor{4};

// Commits.
/// Minimum time from one commit to the next, unless a caller waits.
inline constexpr millis min_commit_interval{30};
inline constexpr millis commit_retry{100};
/// New jobs that wait for a commit are refused once commits have failed for this long.
inline constexpr millis max_commit_failure_time{500};
/// New jobs that are in no commit are refused once the open commit has had no outcome for this
/// long.
inline constexpr millis max_wait_for_store{700};
/// A job usually takes two rows; the store allows 100 entries per transaction.
inline constexpr std::size_t max_jobs_per_commit{45};
inline constexpr std::size_t max_rows_per_commit{95};
/// The store allows 1 MB per transaction.
inline constexpr std::size_t max_commit_bytes{950'000};
/// Bytes that a row adds to a transaction beside its key and value.
inline constexpr std::size_t row_overhead_bytes{128};
/// The store's limit on the value of a row. Longer values are split.
inline constexpr std::size_t max_row_bytes{65'536};
/// Most bytes that the labels of a runner take, each with its length: its row must fit
/// `max_row_bytes`, as one row that does not is refused with all that is stored beside it.
inline constexpr std::size_t max_label_bytes{32'768};
/// A job is refused if its specification, or the progress of one occurrence when it starts, takes
/// more bytes; further occurrences wait. Below `max_commit_bytes`, as values are sent in base64 and
/// progress grows by checkpoints and failures.
inline constexpr std::size_t max_job_bytes{250'000};
/// Ended jobs are kept this much longer than the configured retention.
inline constexpr millis ended_job_grace{30'000};
inline constexpr millis cleanup_period{1'000};

// Runners.
inline constexpr std::size_t max_ignored_entries{1'000};
/// Longest time that a runner keeps a hold open while no run ends.
inline constexpr millis hold_wait{2'000};
/// The same for runners that host both services and leftover tasks.
inline constexpr millis shared_runner_hold_wait{1'000};
/// The same where the deployment asks for headroom of services.
inline constexpr millis headroom_hold_wait{400};
/// The same while a service there is disturbed, or leftover tasks are paused.
inline constexpr millis disturbed_runner_hold_wait{300};
/// Timeout for the answer of a runner, in addition to the hold's wait.
inline constexpr millis runner_timeout{2'000};
/// A report that comes this much later than its hold's wait is overdue.
inline constexpr millis report_overdue_time{500};
/// A check of the runners that comes this late itself cannot tell, as reports may wait to be read.
inline constexpr millis max_check_delay{300};
inline constexpr millis hold_retry{200};
inline constexpr millis max_hold_retry{1'000};
/// Interval of holds while the consequences of reported ends are not stored yet.
inline constexpr millis unstored_hold_interval{150};
/// A stop order is repeated after this time until the runner confirms it, and due repeats are sent
/// at most once per `stop_retry_interval`.
inline constexpr millis stop_retry{300};
inline constexpr millis stop_retry_interval{20};
/// A run that is still reported this long after its stop was confirmed is stopped again.
inline constexpr millis stop_completion_time{stop_retry * 3};
/// A repeat does not wait for the answer to the order before, unless at least this many stop orders
/// are open: on the runner, where each occupies a connection, or on all runners together.
inline constexpr std::uint32_t max_open_stops_of_runner{10};
inline constexpr std::uint32_t max_open_stops{256};
/// Length of a run's lease: long enough for a successor to take over, short enough that tasks of a
/// lost runner restart elsewhere soon.
inline constexpr millis run_lease{6'000};
/// Slowest permitted runner clock, in percent of real time.
inline constexpr std::int64_t slow_clock_percent{98};
inline constexpr millis lease_expiry_margin{100};
/// After this many consecutive failures of tasks a runner receives no new runs for `avoid_time`.
inline constexpr std::uint32_t failures_to_avoid{3};
inline constexpr millis avoid_time{5'000};
/// A runner that refused a start receives no new runs for this long.
inline constexpr millis refused_start_avoid_time{1'000};

// Tasks that crash their runners.
/// A run may have crashed its runner if the runner, on its own clock, gave no sign of life later
/// than this after the run's start.
inline constexpr millis crash_window{500};
/// After the start of a suspect, nothing else starts on its runner for this long.
inline constexpr millis crash_probation{200};
/// Runners that are lost within this time of each other may have been lost for a common reason.
inline constexpr millis crash_coincidence{300};
/// An outside cause is assumed if at least this many other runners, and this share of all, are lost
/// at the same time without a culprit. The share decides from 60 runners on.
inline constexpr std::size_t min_common_losses{3};
inline constexpr std::size_t min_common_losses_percent{5};
/// A suspect whose runner is lost within this time of its order is to blame all the same, unless at
/// least this many other losses have no suspect at all.
inline constexpr millis prompt_crash_time{100};
inline constexpr std::size_t min_unexplained_losses{2};
/// A task is held back after this many crashes that are attributed to it, or that it may have
/// caused.
inline constexpr std::uint32_t attributed_crashes_to_hold_back{2};
inline constexpr std::uint32_t possible_crashes_to_hold_back{4};
/// Time for which it is held back: after few crashes, after more, and after so many that a further
/// one breaks the users' rule. They accept two starts after the third crash, and consider a service
/// task lost after 9 s without a run.
inline constexpr millis brief_crash_hold_back{5'000};
inline constexpr millis long_crash_hold_back{30'000};
inline constexpr millis crash_hold_back{300'000};
inline constexpr std::uint32_t crashes_held_back_briefly{3};
/// If the count is certainly not too low.
inline constexpr std::uint32_t exact_crashes_held_back_briefly{4};

// Services whose runs end by themselves.
/// A run that ended sooner than this after its start was short. After one short run a service
/// starts again at once; with each further one in a row the time between two starts doubles, from
/// the first of these up to the second. Users consider a service task lost after 6 s without a run.
inline constexpr millis min_restart_interval{250};
inline constexpr millis max_restart_interval{4'000};

// Placement.
/// A job that ends later than this many times its objective is of no use to its caller.
inline constexpr std::int64_t late_bound_objectives{3};
/// Time that a job is expected to need beyond its expected run times, in percent of them: the last
/// task of a step ends later than most.
inline constexpr std::int64_t attainable_margin_percent{25};
/// Minimum time between placement rounds if no step became ready in between.
inline constexpr millis placement_interval{10};
/// Runners that placement may score per millisecond of a core's time for tasks that do not start.
/// After a round that scored more than that, the next one waits until it has kept to it, but not
/// longer than the pause: capacity that became free stands idle meanwhile.
inline constexpr std::int64_t max_scored_runners_per_ms{2'000};
inline constexpr millis max_placement_pause{200};
/// Longest pause after a round that took long in fact, as the process may have been paused.
inline constexpr millis max_pause_after_slow_round{1'000};
/// A round that has scored this many runners for steps that it offered all runners in vain offers
/// further steps only the changed runners, and leaves the rest to the next round. It also offers no
/// more changed runners than may be scored this often by all steps.
inline constexpr std::uint64_t max_scored_runners_per_round{20'000};
/// Cost of visiting a waiting step, in scored runners.
inline constexpr std::uint64_t step_visit_cost{5};
/// Unchanged runners that each round offers once more, in turn, to steps that they rejected.
inline constexpr std::size_t reoffered_runners{8};
/// Expected processor use of a service task, in percent of its declared processor time.
inline constexpr std::int64_t service_cpu_use_percent{55};
/// Spare processor time that a leftover task needs, in percent of its declared processor time.
inline constexpr std::int64_t min_leftover_percent{60};
/// A job without a run for this long starts a task on any runner with capacity, even if throttled.
/// Users consider a job forgotten after 3 s.
inline constexpr millis starvation_timeout{1'500};

// Look-ahead.
/// Share of a runner's capacity, in percent, from which room is kept for a task: smaller ones find
/// gaps soon.
inline constexpr double large_task_percent{20};
/// Most runners on which room is kept at a time, and most steps for which a runner is looked for in
/// one round.
inline constexpr std::size_t max_reservations{32};
inline constexpr std::size_t max_new_reservations{4};
/// Room that is expected later than this is not kept yet.
inline constexpr millis max_reservation_wait{3'000};
/// Room that has not been used for this long is given up.
inline constexpr millis max_reservation_time{5'000};
/// Reservations are revised at least this often.
inline constexpr millis reservation_check_period{200};
/// Time by which a run is expected to exceed its estimate, in percent, when it must end before
/// another task starts; and time from its end until the room can be used.
inline constexpr std::int64_t backfill_margin_percent{50};
inline constexpr millis run_end_delay{50};

// Services that ran before and have no run.
/// Placement offers them to the runners at least this often.
inline constexpr millis service_check_period{100};
/// Services that fitted nowhere are offered only runners that have gained room, but this often all.
inline constexpr millis full_service_pass_period{1'000};
/// Runners for which it estimates when they have room for one of them: those that lack the least.
inline constexpr std::size_t max_estimated_runners{16};
/// Another runner may be chosen when the room that is kept does not suffice this long after the
/// estimated time.
inline constexpr millis room_estimate_margin{100};
/// A wait of this length is logged, one at most in each period.
inline constexpr millis logged_service_wait{1'000};
inline constexpr millis service_wait_log_period{1'000};
/// It names this many of the tasks that were started last.
inline constexpr std::size_t logged_starts{3};

// Disturbance of services by leftover tasks (tasks that use only spare processor time).
/// Cores of a reference runner. Processor use is scaled to it, as the same use disturbs less on a
/// larger runner.
inline constexpr double disturbance_reference_cores{64};
/// Expected rise of a service's tail latency, in percent of its target, per core that a neighbour
/// uses: for a neighbour that disturbs it, one that does not, and one with too little evidence.
inline constexpr double disturbing_percent_per_core{9};
inline constexpr double harmless_percent_per_core{0.3};
inline constexpr double unknown_percent_per_core{3};
/// Minimum absolute log odds for which a pair of images counts as known.
inline constexpr double known_log_odds{0.7};
inline constexpr double max_log_odds{5};
/// A latency rise below this is evidence that a neighbour with at least this many cores in use does
/// not disturb the service.
inline constexpr double harmless_latency_rise{20};
inline constexpr double harmless_evidence_min_cores{5};
/// Maximum decrease of a neighbour's log odds by a report below `harmless_latency_rise`, and total
/// increase, divided among all neighbours, by a report above `disturbing_latency_rise`.
inline constexpr double max_harmless_evidence{1.5};
inline constexpr double disturbing_evidence{1.2};
/// A latency rise above this is evidence that neighbours with at least this many cores in use
/// disturb the service.
inline constexpr double disturbing_latency_rise{45};
inline constexpr double disturbing_evidence_min_cores{1};
/// Initial tail latency of undisturbed services, in percent of their target, and the weight of a
/// new report in the moving average that replaces it.
inline constexpr double initial_baseline_latency_percent{45};
inline constexpr double baseline_latency_weight{0.02};
/// A leftover task with at least this expected latency rise per core is an antagonist. Placement
/// prefers runners on which a task is not an antagonist.
inline constexpr double antagonist_percent_per_core{1.2};

/// Interval at which the disturbance model is added to a commit.
inline constexpr millis disturbance_store_period{2'000};
/// A larger model is not stored: a row holds up to 64 KiB, and the model takes 12 bytes for each
/// pair of images and the image names.
inline constexpr std::size_t max_stored_images{64};

// Pacing.
/// Tail latency rise that leftover tasks may cause on a runner, in percent of the service's target.
inline constexpr double initial_latency_rise_budget{25};
inline constexpr double max_latency_rise_budget{40};
inline constexpr double latency_rise_budget_step{3};
/// The budget, or the expected latency rise at the current paces if that is lower, is multiplied by
/// this when a service counts as disturbed.
inline constexpr double latency_rise_budget_cut{0.6};
inline constexpr millis latency_rise_budget_period{400};
/// All leftover tasks on a runner are paused when a service there is disturbed and this much time
/// has passed since all services were last known to meet their targets. Users tolerate 4 s.
inline constexpr millis max_disturbance_time{2'200};
/// The same while no report says that a service misses its target, but the last one is this old.
inline constexpr millis max_time_without_report{2'400};
/// Time after a pace order after which the reported processor use shows whether it is in force.
inline constexpr millis pace_check_delay{1'000};
/// Processor use of a paused task, in percent of its request, above which it is not in fact paused.
inline constexpr std::int64_t paused_cpu_use_percent{30};
/// Processor use of a task, in percent of its request, above which it is evidently not throttled.
inline constexpr std::int64_t unthrottled_cpu_use_percent{50};
/// An antagonist only starts where its expected share of full speed is at least this.
inline constexpr double min_antagonist_pace_share{0.5};
/// Smaller changes of pace, in percent of full speed, are not ordered.
inline constexpr std::uint32_t min_pace_change{15};
/// Minimum tail latency, in percent of the target, of a service that counts as disturbed, and tail
/// latency below which the latency rise budget may grow.
inline constexpr std::int64_t disturbed_latency_percent{95};
inline constexpr std::int64_t calm_latency_percent{80};
/// Tail latency at which leftover tasks stand still where the deployment asks for headroom of
/// services; at `calm_latency_percent` they run at full speed.
inline constexpr std::int64_t no_headroom_latency_percent{105};
/// Services get headroom again once no leftover task has waited for a runner for this long.
inline constexpr millis headroom_pause{1'000};

// Relocation of throttled tasks.
inline constexpr millis relocation_period{200};
/// Minimum age of a run before relocation, so that its progress and pace are known.
inline constexpr millis min_run_age_to_relocate{500};
/// Time that a relocation costs: stop, report, start and loading the checkpoint.
inline constexpr millis relocation_cost{600};
/// A relocation must shorten the remaining time by at least this factor.
inline constexpr double min_relocation_speedup{1.5};
/// Maximum number of relocations per round.
inline constexpr std::size_t max_relocations{12};

// Calls.
inline constexpr millis default_call_timeout{3'000};
/// An entry VM answers this long before the caller's timeout.
inline constexpr millis answer_margin{150};
inline constexpr millis call_retry{100};
/// Time for which a call that was certainly not accepted waits for a scheduler before it is
/// refused.
inline constexpr millis max_wait_for_scheduler{700};
/// Shortest Retry-After of a refused call, and the least number of different ones, a second apart,
/// over which the retries are spread. In whole seconds, the resolution of the answer to callers.
inline constexpr millis retry_after{1'000};
inline constexpr std::uint64_t retry_after_steps{2};

// Organisations.
/// Lower weights count as this.
inline constexpr double min_organisation_weight{0.001};
/// Interval at which a new holder counts anew what may run unreported.
inline constexpr millis unreported_count_period{100};
/// An organisation's waits are logged at most once in this time, those for its quota and those for
/// its share each.
inline constexpr millis organisation_wait_log_period{1'000};

// Shutdown.
/// Calls are still served for this long after the shutdown was requested.
inline constexpr millis drain_time{4'000};

// Jobs.
inline constexpr std::uint32_t max_steps{256};
inline constexpr std::uint32_t max_tasks_per_step{10'000};
inline constexpr std::uint32_t max_occurrences{10'000};

} // namespace cuminmoor::central::config
