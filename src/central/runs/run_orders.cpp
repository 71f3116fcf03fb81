/// \file
/// Results of start, stop and pace orders, including orders without an answer.
#include "central/runs/run_parts.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

/// \return true if no restart of the runner was noticed since the order was given. Otherwise its
/// answer may come from the incarnation before.
bool is_for_current_incarnation(const runner_order_ended& e, const runner_record& r)
{
    return e.runner_started_at_ms == r.entry.started_at_ms;
}

/// \return true if the known incarnation has certainly given the answer: only starts go over
/// connections that have proved it, and one that was refused may show the answer to the proof. The
/// clock of another incarnation may show anything.
bool is_proved_answer(const runner_order_ended& e, const runner_record& r)
{
    return e.kind == order_kind::start && e.result == order_result::done && e.clock &&
           is_for_current_incarnation(e, r);
}

/// Records what the clock of the known incarnation shows. The answer may be older than the last
/// sign of life.
void note_clock(const context& c, runner_record& r, remote_instant shown)
{
    r.clock = clock_sample{shown, c.now};
    if (r.is_responsive && shown >= r.last_alive.shown) {
        r.last_alive = *r.clock;
    }
}

/// \param clock the runner's clock when it answered the order.
void on_start_done(const context& c, const graph_task_id& id, task_ref ref, runner_record& r,
                   const std::optional<remote_instant>& clock)
{
    run& started = *ref.task->current_run;
    if (started.runner_may_have_restarted) {
        stop_run(c, id, started);
        return;
    }
    started.start_confirmed_at_hold = r.holds_sent;
    started.started_by = clock;
    if (started.phase == run_phase::starting) {
        started.phase = run_phase::running;
        mark_job_started(c, *ref.job);
    }
    if (ref.step->uses_leftover) {
        pace_runner(c, r);
    }
}

/// Handles an order that another incarnation has answered: all runs of the one that it was meant
/// for are gone.
void on_runner_replaced(const context& c, const runner_order_ended& e, runner_record& r)
{
    if (!is_for_current_incarnation(e, r)) {
        return;
    }
    if (r.is_responsive) {
        record_runner_loss(c, r);
    }
    r.is_responsive = false;
    mark_all_runs_lost(c, r, loss_evidence::other_incarnation);
}

/// Handles a start that the runner has certainly not executed.
void on_start_refused(const context& c, const runner_order_ended& e, task_ref ref, runner_record* r)
{
    log_run(c, "start_refused", e.task, *ref.task->current_run, name_of(e.result));
    if (e.result == order_result::other_incarnation) {
        release_run(c, e.task, ref);
        if (r != nullptr) {
            on_runner_replaced(c, e, *r);
        }
        return;
    }
    if (r != nullptr) {
        r->avoided_until = std::max(r->avoided_until, c.now + config::refused_start_avoid_time);
    }
    release_run(c, e.task, ref);
}

void on_start_ended(const context& c, const runner_order_ended& e, runner_record* r)
{
    const task_ref ref = find_task(c.s, e.task);
    // `superseded`: an earlier copy of this order, whose answer was lost, may have started the run,
    // and the run may have ended since.
    const bool may_run = e.result == order_result::done || e.result == order_result::unknown ||
                         e.result == order_result::superseded;
    if (!is_current_run(ref, e.runner, e.run)) {
        if (may_run && r != nullptr) {
            stop_orphan(c, *r, e.task, e.run);
        }
        return;
    }
    run& started = *ref.task->current_run;
    started.start_in_flight = false;
    if (!may_run || r == nullptr) {
        on_start_refused(c, e, ref, r);
        return;
    }
    if (e.result == order_result::done) {
        on_start_done(c, e.task, ref, *r, e.clock);
        return;
    }
    log_run(c, "start_uncertain", e.task, started, name_of(e.result));
    stop_run(c, e.task, started);
}

void on_stop_ended(const context& c, const runner_order_ended& e, runner_record* r)
{
    --c.s.scheduler.open_stops;
    if (r == nullptr) {
        return;
    }
    r->open_stops -= r->open_stops > 0 ? 1 : 0;
    run_stop* const stop = find_stop(c, *r, e.task, e.run);
    if (stop == nullptr) {
        return;
    }
    stop->unanswered -= stop->unanswered > 0 ? 1 : 0;
    const bool is_executed = e.result == order_result::done || e.result == order_result::superseded;
    if (is_executed && is_for_current_incarnation(e, *r)) {
        confirm_stop(c, *r, e, *stop);
    }
    else if (e.result == order_result::other_incarnation) {
        on_runner_replaced(c, e, *r);
    }
    else if (stop->confirmed_at_hold == 0) {
        log_stop(c, "stop_unconfirmed", {stop->retry_at, e.runner, e.task, e.run}, *stop,
                 name_of(e.result));
    }
}

void on_pace_ended(const context& c, const runner_order_ended& e)
{
    const task_ref ref = find_task(c.s, e.task);
    if (is_current_run(ref, e.runner, e.run) && e.result != order_result::done) {
        // Either pace may be in force; the next report repeats the order.
        ref.task->current_run->pace = unknown_pace;
    }
}

} // namespace

void on_order_ended(const context& c, const runner_order_ended& e)
{
    if (!c.is_scheduler() || e.term != c.s.lease.term) {
        return;
    }
    runner_record* const r = find_runner(c, e.runner);
    if (e.result == order_result::fenced) {
        step_down(c, "a runner has seen a higher term");
        return;
    }
    if (r != nullptr && r->clock && is_proved_answer(e, *r)) {
        note_clock(c, *r, *e.clock);
    }
    const bool is_unanswered =
        e.result == order_result::unknown || e.result == order_result::not_sent;
    if (r != nullptr && is_unanswered) {
        r->has_unanswered_order = true;
    }
    switch (e.kind) {
    case order_kind::start:
        on_start_ended(c, e, r);
        break;
    case order_kind::stop:
        on_stop_ended(c, e, r);
        break;
    case order_kind::pace:
        on_pace_ended(c, e);
        break;
    }
}

} // namespace cuminmoor::central
