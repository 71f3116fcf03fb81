/// \file
/// Pacing: tasks that use leftover processor time slow down so far that the services beside them
/// keep their latency targets.
#include "runs.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

constexpr std::uint32_t full_speed{100};

/// \return the highest share of its latency target that a service there shows, in percent.
std::int64_t worst_share(const context& c, const runner_record& r)
{
    std::int64_t worst{0};
    for (const graph_task_id& id : r.runs) {
        const task_place place = find_task(c.s, id);
        if (place && place.task->where && place.step->latency_target.count > 0) {
            worst =
                std::max(worst, place.task->where->load * 100 / place.step->latency_target.count);
        }
    }
    return worst;
}

/// \return the rise that is expected at the speeds in force.
double rise_in_force(const runner_record& r)
{
    return (r.light_rise * r.light_pace + r.heavy_rise * r.heavy_pace) / full_speed;
}

/// Cuts the budget while a service misses its target, and lets it grow again while none does.
void adjust_budget(const context& c, runner_record& r, std::int64_t worst)
{
    if (worst < config::disturbed_percent) {
        r.disturbed_since.reset();
    }
    else if (!r.disturbed_since) {
        r.disturbed_since = c.now;
    }
    if (c.now < r.budget_changed_at + config::budget_period) {
        return;
    }
    const double in_force = rise_in_force(r);
    if (r.disturbed_since && in_force > 0) {
        r.rise_budget = std::min(r.rise_budget, in_force) * config::rise_budget_cut;
        r.budget_changed_at = c.now;
    }
    else if (worst < config::calm_percent && r.rise_budget < config::max_rise_budget) {
        r.rise_budget += config::rise_budget_step;
        r.budget_changed_at = c.now;
    }
}

std::uint32_t heavy_pace_for(const runner_record& r)
{
    if (r.heavy_rise <= 0 || r.service_cores == 0) {
        return full_speed;
    }
    const double share = (r.rise_budget - r.light_rise) / r.heavy_rise;
    constexpr double tenth{10};
    return static_cast<std::uint32_t>(std::floor(std::clamp(share, 0.0, 1.0) * tenth) * tenth);
}

/// \return the wanted speed, or the one in force when the change is not worth an order.
std::uint32_t with_hysteresis(std::uint32_t in_force, std::uint32_t wanted)
{
    const std::uint32_t change = std::max(in_force, wanted) - std::min(in_force, wanted);
    const bool is_worth_it =
        change >= config::least_pace_change || wanted == 0 || wanted == full_speed;
    return is_worth_it ? wanted : in_force;
}

void order_pace(const context& c, const runner_record& r, const graph_task_id& id, run& paced,
                std::uint32_t speed)
{
    runner_order order = make_order(c, r, id, order_kind::pace, paced.number);
    order.percent = speed;
    paced.pace = speed;
    c.add(std::move(order));
}

void log_change(const context& c, const runner_record& r, std::uint32_t heavy, std::uint32_t light,
                std::int64_t worst)
{
    c.log("runner_paced", {{"runner", r.entry.id.value},
                           {"heavy_pace", absl::StrCat(heavy)},
                           {"light_pace", absl::StrCat(light)},
                           {"worst_share_of_target", absl::StrCat(worst)},
                           {"rise_budget", absl::StrCat(r.rise_budget)},
                           {"light_rise", absl::StrCat(r.light_rise)},
                           {"heavy_rise", absl::StrCat(r.heavy_rise)}});
}

} // namespace

void pace_runner(const context& c, runner_record& r)
{
    const std::int64_t worst = worst_share(c, r);
    adjust_budget(c, r, worst);
    const bool is_too_long =
        r.disturbed_since && c.now - *r.disturbed_since >= config::longest_disturbance;
    const std::uint32_t heavy = is_too_long ? 0 : with_hysteresis(r.heavy_pace, heavy_pace_for(r));
    const std::uint32_t light = is_too_long ? 0 : full_speed;
    if (heavy != r.heavy_pace || light != r.light_pace) {
        log_change(c, r, heavy, light, worst);
        r.heavy_pace = heavy;
        r.light_pace = light;
    }
    for (const graph_task_id& id : r.runs) {
        const task_place place = find_task(c.s, id);
        if (!place || !place.task->where || !place.step->uses_leftover) {
            continue;
        }
        run& paced = *place.task->where;
        const std::uint32_t speed = is_heavy(c.s, r, place) ? heavy : light;
        if (paced.pace != speed && paced.phase == run_phase::running) {
            order_pace(c, r, id, paced, speed);
        }
    }
}

} // namespace cuminmoor::central
