/// \file
/// Relocation: moves leftover tasks that pacing throttles to runners where they disturb no service
/// and run at full speed. The task is stopped and placed again.
#include "central/parts.h"

namespace cuminmoor::central {

namespace {

/// A task to relocate and a runner with capacity for it.
struct relocation {
    graph_task_id task;
    runner_record* to{nullptr};
};

bool is_throttled(const runner_record& r)
{
    return r.is_responsive && (r.antagonist_pace < full_pace || r.is_paused);
}

bool is_relocatable(const context& c, const task_ref& ref)
{
    if (!ref || !ref.task->current_run || !ref.step->uses_leftover || ref.step->is_gang) {
        return false;
    }
    const run& r = *ref.task->current_run;
    return r.phase == run_phase::running && r.pace < full_pace &&
           c.now - r.ordered_at >= config::min_run_age_to_relocate;
}

void find_relocations(const context& c, const runner_record& r,
                      const std::vector<runner_record*>& schedulable, runner_selector& selector,
                      std::vector<relocation>& moves)
{
    for (const graph_task_id& id : r.runs) {
        const task_ref ref = find_task(c.s, id);
        if (moves.size() >= config::max_relocations || !is_relocatable(c, ref)) {
            continue;
        }
        // A benign task that is only throttled for headroom stays: the peak of demand passes
        // sooner.
        if (!r.is_paused && !is_antagonist(c.s, r, ref)) {
            continue;
        }
        if (!is_relocation_worthwhile(expected_run_time(c.s, ref), *ref.step,
                                      *ref.task->current_run)) {
            continue;
        }
        runner_record* const to =
            selector.select_runner(schedulable, id, ref, runner_requirement::benign);
        if (to == nullptr || to == &r) {
            continue;
        }
        // Reserves the capacity for the rest of this round.
        reserve_for_run(*to, ref, id);
        moves.push_back({id, to});
    }
}

} // namespace

bool is_relocation_worthwhile(millis whole_run, const graph_step& step, const run& r)
{
    const auto total_time = static_cast<double>(whole_run.count);
    const double remaining_time =
        total_time * (static_cast<double>(full_pace) - r.progress) / full_pace;
    const double time_after_move = (step.saves_checkpoints ? remaining_time : total_time) +
                                   static_cast<double>(config::relocation_cost.count);
    // Remaining time at the current pace, multiplied out because the pace may be zero.
    return remaining_time * full_pace > config::min_relocation_speedup * time_after_move * r.pace;
}

void relocate_throttled_tasks(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    const bool is_due = c.now >= s.last_relocation_at + config::relocation_period;
    if (!is_due || !may_send_orders(c) || s.recovering || c.s.lease.releasing) {
        return;
    }
    s.last_relocation_at = c.now;
    const std::vector<runner_record*> schedulable = schedulable_runners(c);
    runner_selector selector{c};
    std::vector<relocation> moves;
    for (const auto& [id, r] : s.runners) {
        if (is_throttled(r)) {
            find_relocations(c, r, schedulable, selector, moves);
        }
    }
    for (const relocation& each : moves) {
        unreserve_run(*each.to, find_task(c.s, each.task), each.task);
    }
    for (const relocation& each : moves) {
        run& throttled = *find_task(c.s, each.task).task->current_run;
        c.log("run_relocated", {{"task", to_string(each.task)},
                                {"run", std::to_string(throttled.number.value)},
                                {"from", throttled.runner.value},
                                {"to", each.to->entry.id.value},
                                {"pace", std::to_string(throttled.pace)},
                                {"progress", std::to_string(throttled.progress)}});
        stop_run(c, each.task, throttled);
    }
}

} // namespace cuminmoor::central
