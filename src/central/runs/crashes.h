/// \file
/// Tasks that crash their runners.
#pragma once

#include <vector>

#include "central/context.h"
#include "central/jobs/jobs.h"

namespace cuminmoor::central {

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
/// Records that a task is about to start: its last run is counted if its outcome is not known, and
/// the new one is if the task is a suspect.
void begin_suspect_run(const context& c, const graph_task_id& id, task_ref ref);
/// Records that the outcome of a suspect's run is known.
void end_suspect_run(const context& c, task_ref ref);
/// Clears the suspicion against the task once its current run has survived its start.
void clear_suspicion_if_survived(const context& c, const runner_record& r, task_ref ref);

} // namespace cuminmoor::central
