/// \file
/// Processing of runner reports: applies ended runs, adopts runs started in earlier terms and
/// handles runs that are missing from a report.
#include "central/lease/handover.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "central/runs/run_parts.h"

namespace cuminmoor::central {

namespace {

const char* name_of(end_cause cause)
{
    switch (cause) {
    case end_cause::done:
        return "done";
    case end_cause::failed:
        return "failed";
    case end_cause::stopped:
        return "stopped";
    case end_cause::lease_expired:
        return "lease_expired";
    case end_cause::gang_broken:
        return "gang_broken";
    case end_cause::gang_incomplete:
        return "gang_incomplete";
    }
    return "";
}

void log_orphan_ended(const context& c, const runner_record& r, const graph_task_id& id,
                      const orphan_run& orphan, const char* outcome)
{
    const unconfirmed_stop stopped{orphan.stop.retry_at, r.entry.id, id, orphan.number};
    log_stop(c, "foreign_run_ended", stopped, orphan.stop, outcome);
}

/// Marks a task as done. The completion of one gang member completes the whole gang.
void finish_tasks(const context& c, const graph_task_id& id, task_ref ref)
{
    if (!ref.step->is_gang) {
        finish_task(c, id, ref);
        return;
    }
    for (std::uint32_t i{0}; i < ref.progress->tasks.size(); ++i) {
        graph_task_id member = id;
        member.index = i;
        const task_ref each = find_task(c.s, member);
        if (each && each.task->status != task_status::done) {
            finish_task(c, member, each);
        }
    }
}

void count_failure(const context& c, const reported_end& e, task_ref ref, runner_record& r)
{
    ++r.failures_in_a_row;
    if (r.failures_in_a_row >= config::failures_to_avoid) {
        r.avoided_until = c.now + config::avoid_time;
        c.log("runner_avoided", {{"runner", r.entry.id.value},
                                 {"failures", absl::StrCat(r.failures_in_a_row)},
                                 {"for_ms", absl::StrCat(config::avoid_time.count)}});
    }
    auto& counted = ref.task->failed_runs;
    if (std::find(counted.begin(), counted.end(), e.run) != counted.end()) {
        return;
    }
    if (!ref.step->is_service) {
        counted.push_back(e.run);
    }
    ref.task->failed_on = r.entry.id;
    fail_task(c, e.task, ref);
}

/// A service task is never done: it starts again from the beginning.
void apply_service_done(const context& c, const reported_end& e, task_ref ref)
{
    mark_job_started(c, *ref.job);
    if (ref.task->last_run == e.run) {
        ref.task->checkpoint.clear();
        mark_changed(c, *ref.job);
    }
}

void apply_done(const context& c, const reported_end& e, task_ref ref)
{
    if (ref.task->status != task_status::done) {
        finish_tasks(c, e.task, ref);
    }
    if (ref.task->current_run) {
        stop_run(c, e.task, *ref.task->current_run);
    }
}

/// Updates the task of an ended run, after the run was detached from its runner.
void apply_end(const context& c, const reported_end& e, task_ref ref, runner_record& r)
{
    if (e.cause == end_cause::done) {
        r.failures_in_a_row = 0;
        ref.step->is_service ? apply_service_done(c, e, ref) : apply_done(c, e, ref);
        return;
    }
    if (e.cause == end_cause::failed) {
        count_failure(c, e, ref, r);
    }
    else if (!e.checkpoint.empty()) {
        mark_changed(c, *ref.job);
    }
}

/// Adopts a reported run that was started in an earlier term and is still running.
/// \return false if the task does not need the run; the run is then an orphan.
bool adopt_run(const context& c, runner_record& r, const reported_run& reported, task_ref ref)
{
    const bool is_wanted = ref && !ref.job->has_ended() && !ref.task->current_run &&
                           ref.task->status != task_status::done &&
                           reported.run > ref.task->last_run;
    if (!is_wanted) {
        return false;
    }
    unmark_task_ready(c, reported.task, ref);
    ref.task->status = task_status::active;
    if (ref.step->is_service) {
        keep_place(c, ref, r);
    }
    run adopted;
    adopted.runner = r.entry.id;
    adopted.number = reported.run;
    adopted.phase = run_phase::running;
    adopted.ordered_at = c.now;
    adopted.start_confirmed_at_hold = r.holds_sent;
    adopted.pace = unknown_pace;
    adopted.has_survived_start =
        ref.step->is_service ? ref.task->has_survived_there : !ref.task->crashes.has_counted();
    ref.task->last_run = std::max(ref.task->last_run, reported.run);
    attach_run(c, ref, r, reported.task, adopted);
    // Nobody can tell how long services have missed their targets beside it.
    r.targets_met_at.reset();
    mark_job_started(c, *ref.job);
    log_run(c, "run_adopted", reported.task, adopted, "running");
    return true;
}

void process_reported_run(const context& c, runner_record& r, const reported_run& reported)
{
    start_reported_occurrence(c, reported.task);
    const task_ref ref = find_task(c.s, reported.task);
    const bool is_known = is_current_run(ref, r.entry.id, reported.run);
    if (!is_known && !adopt_run(c, r, reported, ref)) {
        stop_orphan(c, r, reported.task, reported.run);
        repeat_unexecuted_stop(c, r, reported);
        return;
    }
    run& known = *ref.task->current_run;
    reconcile(c, r, ref);
    if (known.phase == run_phase::stopping) {
        repeat_unexecuted_stop(c, r, reported);
    }
    known.load = reported.load;
    known.progress = reported.percent;
    if (!known.started_by) {
        known.started_by = r.last_alive.shown;
    }
    clear_suspicion_if_survived(c, r, ref);
    if (!reported.checkpoint.empty()) {
        ref.task->checkpoint = reported.checkpoint;
    }
    if (known.phase == run_phase::starting) {
        known.phase = run_phase::running;
        known.start_confirmed_at_hold = r.holds_sent;
        mark_job_started(c, *ref.job);
    }
}

/// Handles runs that the report should list but does not: a confirmed stop ends the run, an
/// unexpected absence leads to a stop order.
void handle_missing_runs(const context& c, runner_record& r, const std::set<graph_task_id>& listed)
{
    const std::vector<graph_task_id> known{r.runs.begin(), r.runs.end()};
    for (const graph_task_id& id : known) {
        const task_ref ref = find_task(c.s, id);
        if (listed.contains(id) || !ref || !ref.task->current_run) {
            continue;
        }
        run& missing = *ref.task->current_run;
        const auto is_older = [&r](std::uint64_t hold) { return hold != 0 && hold < r.holds_sent; };
        if (is_older(missing.stop.confirmed_at_hold)) {
            log_run(c, "run_gone", id, missing, "stopped and no longer reported");
            release_run(c, id, ref);
        }
        else if (is_older(missing.start_confirmed_at_hold) && missing.phase == run_phase::running) {
            log_run(c, "run_missing", id, missing, "not reported, stop ordered");
            stop_run(c, id, missing);
        }
    }
    std::erase_if(r.orphans, [&](const auto& each) {
        const auto& [id, orphan] = each;
        const std::uint64_t hold = orphan.stop.confirmed_at_hold;
        const bool has_ended = hold != 0 && hold < r.holds_sent && !listed.contains(id);
        if (has_ended) {
            log_orphan_ended(c, r, id, orphan, "stopped and no longer reported");
        }
        return has_ended;
    });
}

} // namespace

void process_reported_end(const context& c, runner_record& r, const reported_end& e)
{
    const auto orphan = r.orphans.find(e.task);
    if (orphan != r.orphans.end() && orphan->second.number <= e.run) {
        log_orphan_ended(c, r, e.task, orphan->second, name_of(e.cause));
        r.orphans.erase(orphan);
    }
    start_reported_occurrence(c, e.task);
    const task_ref ref = find_task(c.s, e.task);
    if (!ref) {
        return;
    }
    if (is_current_run(ref, r.entry.id, e.run)) {
        log_run(c, "run_ended", e.task, *ref.task->current_run, name_of(e.cause));
        if (e.cause == end_cause::done) {
            record_run_time(c, ref);
        }
        const bool is_exit = e.cause == end_cause::done || e.cause == end_cause::failed;
        if (ref.step->is_service && is_exit) {
            record_service_exit(c, e.task, ref);
        }
        detach_run(c, ref, &r, e.task);
    }
    else if (!ref.task->current_run && ref.task->placed_on == r.entry.id) {
        forget_place(c, ref);
    }
    ref.task->last_run = std::max(ref.task->last_run, e.run);
    end_suspect_run(c, ref);
    if (!e.checkpoint.empty() && ref.task->status != task_status::done) {
        ref.task->checkpoint = e.checkpoint;
    }
    job_record& job = *ref.job;
    if (!job.has_ended()) {
        apply_end(c, e, ref, r);
        // `apply_end` may have ended the job and removed its tasks.
        if (const task_ref ref_after_end = find_task(c.s, e.task)) {
            requeue_task(c, e.task, ref_after_end);
        }
    }
    // Acknowledge only after the job's newest change is stored, even if this end changed nothing:
    // until then a successor can learn of that change only from the reported end.
    r.last_processed_end_change = std::max(r.last_processed_end_change, job.last_change);
}

void process_reported_runs(const context& c, runner_record& r, const runner_hold_ended& report)
{
    std::set<graph_task_id> listed;
    for (const reported_run& each : report.running) {
        listed.insert(each.task);
        process_reported_run(c, r, each);
    }
    // Otherwise a run that the report does not list may have ended; its end follows.
    if (!report.has_more_ends) {
        handle_missing_runs(c, r, listed);
    }
}

} // namespace cuminmoor::central
