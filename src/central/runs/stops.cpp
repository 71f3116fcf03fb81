/// \file
/// Orders to stop runs, repeated until the runner confirms them.
///
/// An order may be lost, or executed seconds late. Stops are idempotent, so a repeat does not wait
/// for the order before to time out.
#include "central/runs/run_parts.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

unconfirmed_stop key_of(const runner_id& runner, const graph_task_id& id, run_number number,
                        const run_stop& stop)
{
    return {stop.retry_at, runner, id, number};
}

void schedule_repeat(const context& c, const runner_record& r, const graph_task_id& id,
                     run_number number, run_stop& stop)
{
    stop.retry_at = c.now + config::stop_retry;
    c.s.scheduler.unconfirmed_stops.insert(key_of(r.entry.id, id, number, stop));
}

void order_stop(const context& c, runner_record& r, const graph_task_id& id, run_number number,
                run_stop& stop)
{
    if (stop.orders++ == 0) {
        stop.first_ordered_at = c.now;
    }
    ++stop.unanswered;
    ++r.open_stops;
    ++c.s.scheduler.open_stops;
    schedule_repeat(c, r, id, number, stop);
    c.add(make_order(c, r, id, order_kind::stop, number));
}

/// \return true if the order may be repeated now. A runner that answers no holds probably receives
/// no stops either, so its orders are repeated one at a time.
bool may_repeat(const context& c, const runner_record& r, const run_stop& stop)
{
    return stop.unanswered == 0 ||
           (r.is_responsive && r.open_stops < config::max_open_stops_of_runner &&
            c.s.scheduler.open_stops < config::max_open_stops);
}

void repeat_stop(const context& c, const unconfirmed_stop& due)
{
    runner_record* const r = find_runner(c, due.runner);
    run_stop* const stop = r == nullptr ? nullptr : find_stop(c, *r, due.task, due.run);
    if (stop == nullptr || stop->confirmed_at_hold != 0) {
        return;
    }
    if (may_repeat(c, *r, *stop)) {
        order_stop(c, *r, due.task, due.run, *stop);
        log_stop(c, "stop_repeated", due, *stop, "not confirmed");
    }
    else {
        schedule_repeat(c, *r, due.task, due.run, *stop);
    }
}

} // namespace

void stop_run(const context& c, const graph_task_id& id, run& stopped)
{
    runner_record* const r = find_runner(c, stopped.runner);
    stopped.phase = run_phase::stopping;
    // A run that awaits the store is released when that answers.
    if (r == nullptr || stopped.awaits_store || stopped.stop.orders > 0) {
        return;
    }
    log_run(c, "run_stopped", id, stopped, "ordered");
    order_stop(c, *r, id, stopped.number, stopped.stop);
}

void stop_orphan(const context& c, runner_record& r, const graph_task_id& id, run_number number)
{
    auto [found, is_new] = r.orphans.try_emplace(id);
    orphan_run& orphan = found->second;
    if (!is_new && orphan.number >= number) {
        return;
    }
    orphan = {number, {}};
    c.log("foreign_run_stopped", {{"task", to_string(id)},
                                  {"run", absl::StrCat(number.value)},
                                  {"runner", r.entry.id.value}});
    order_stop(c, r, id, number, orphan.stop);
}

run_stop* find_stop(const context& c, runner_record& r, const graph_task_id& id, run_number number)
{
    const task_ref ref = find_task(c.s, id);
    if (is_current_run(ref, r.entry.id, number)) {
        return &ref.task->current_run->stop;
    }
    const auto found = r.orphans.find(id);
    const bool is_orphan = found != r.orphans.end() && found->second.number == number;
    return is_orphan ? &found->second.stop : nullptr;
}

void confirm_stop(const context& c, const runner_record& r, const runner_order_ended& e,
                  run_stop& stop)
{
    if (stop.confirmed_at_hold != 0) {
        return;
    }
    stop.confirmed_at_hold = r.holds_sent;
    stop.confirmed_clock = e.clock.value_or(r.last_alive.shown);
    c.s.scheduler.unconfirmed_stops.erase(key_of(r.entry.id, e.task, e.run, stop));
}

void repeat_unexecuted_stop(const context& c, runner_record& r, const reported_run& reported)
{
    run_stop* const stop = find_stop(c, r, reported.task, reported.run);
    if (stop == nullptr || stop->confirmed_at_hold == 0) {
        return;
    }
    const millis since{r.last_alive.shown.ms - stop->confirmed_clock.ms};
    const bool is_restarted = since < millis{0} && r.holds_sent > stop->confirmed_at_hold;
    if (!is_restarted && since < config::stop_completion_time) {
        return;
    }
    stop->confirmed_at_hold = 0;
    order_stop(c, r, reported.task, reported.run, *stop);
    log_stop(c, "stop_repeated", key_of(r.entry.id, reported.task, reported.run, *stop), *stop,
             "confirmed, but still reported");
}

void log_stop(const context& c, const char* name, const unconfirmed_stop& stopped,
              const run_stop& stop, const char* outcome)
{
    c.log(name, {{"task", to_string(stopped.task)},
                 {"run", absl::StrCat(stopped.run.value)},
                 {"runner", stopped.runner.value},
                 {"outcome", outcome},
                 {"stopping_ms", absl::StrCat((c.now - stop.first_ordered_at).count)},
                 {"stop_orders", absl::StrCat(stop.orders)}});
}

void forget_stop(const context& c, const graph_task_id& id, const run& stopped)
{
    c.s.scheduler.unconfirmed_stops.erase(key_of(stopped.runner, id, stopped.number, stopped.stop));
}

void repeat_unconfirmed_stops(const context& c)
{
    auto& stops = c.s.scheduler.unconfirmed_stops;
    while (!stops.empty() && stops.begin()->retry_at <= c.now) {
        const unconfirmed_stop due = *stops.begin();
        stops.erase(stops.begin());
        ++c.s.scheduler.stop_retry_checks;
        repeat_stop(c, due);
    }
    if (!stops.empty()) {
        c.wake_by(std::max(stops.begin()->retry_at, c.now + config::stop_retry_interval));
    }
}

} // namespace cuminmoor::central
