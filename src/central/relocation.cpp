/// \file
/// Relocation: a task that was slowed down, because it disturbs services beside it, goes on at full
/// speed on a runner where it disturbs none.
#include "parts.h"

namespace cuminmoor::central {

namespace {

constexpr double full_speed{100};

/// A task that is to move, and where there is room for it.
struct relocation {
    graph_task_id task;
    runner_record* to{nullptr};
};

bool is_slowed(const runner_record& r)
{
    return r.confirmed && (r.heavy_pace < full_speed || r.light_pace < full_speed);
}

bool may_move(const context& c, const task_place& place)
{
    if (!place || !place.task->where || !place.step->uses_leftover || place.step->is_gang) {
        return false;
    }
    const run& r = *place.task->where;
    return r.phase == run_phase::running && !r.stop_in_flight && r.pace < full_speed &&
           c.now - r.ordered_at >= config::least_stay;
}

void find_moves_from(const context& c, const runner_record& r, runner_chooser& chooser,
                     std::vector<relocation>& moves)
{
    for (const graph_task_id& id : r.runs) {
        const task_place place = find_task(c.s, id);
        if (moves.size() >= config::max_relocations || !may_move(c, place)) {
            continue;
        }
        if (!gains_by_moving(*place.step, *place.task->where)) {
            continue;
        }
        runner_record* const to = chooser.choose(id, place, room_wanted::undisturbing);
        if (to == nullptr || to == &r) {
            continue;
        }
        // Its room counts while the other moves of this round are chosen.
        charge_run(*to, place, id);
        moves.push_back({id, to});
    }
}

} // namespace

bool gains_by_moving(const graph_step& step, const run& r)
{
    const auto whole = static_cast<double>(step.run_time.count);
    const double left = whole * (full_speed - r.progress) / full_speed;
    const double there =
        (step.saves_checkpoints ? left : whole) + static_cast<double>(config::move_time.count);
    // Left at the present speed, compared without a division by a speed of zero.
    return left * full_speed > config::least_move_gain * there * r.pace;
}

void relocate_slowed_tasks(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    const bool is_due = c.now >= s.relocated_at + config::relocation_period;
    if (!is_due || !may_order(c) || s.recovering || c.s.lease.releasing) {
        return;
    }
    s.relocated_at = c.now;
    const std::vector<runner_record*> usable = usable_runners(c);
    runner_chooser chooser{c, usable};
    std::vector<relocation> moves;
    for (const auto& [id, r] : s.runners) {
        if (is_slowed(r)) {
            find_moves_from(c, r, chooser, moves);
        }
    }
    for (const relocation& each : moves) {
        uncharge_run(*each.to, find_task(c.s, each.task), each.task);
    }
    for (const relocation& each : moves) {
        run& slowed = *find_task(c.s, each.task).task->where;
        c.log("run_relocated", {{"task", to_string(each.task)},
                                {"run", std::to_string(slowed.number.value)},
                                {"from", slowed.runner.value},
                                {"to", each.to->entry.id.value},
                                {"pace", std::to_string(slowed.pace)},
                                {"progress", std::to_string(slowed.progress)}});
        stop_run(c, each.task, slowed);
    }
}

} // namespace cuminmoor::central
