/// \file
/// Life cycle of a job.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "central/context.h"

namespace cuminmoor::central {

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

/// \return the time from the start of each step's tasks to the end of the longest chain of steps
/// that begins with it. \param run_times of each step's tasks.
std::vector<millis> times_to_end(const graph_job& job, const std::vector<millis>& run_times);
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

} // namespace cuminmoor::central
