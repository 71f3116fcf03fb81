/// \file
/// Pacing: throttles leftover tasks so that services on the same runner meet their latency targets.
#include "runs.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

constexpr std::uint32_t full_speed{100};

/// \return the highest tail latency of a service on the runner, in percent of its target.
std::int64_t max_latency_percent(const context& c, const runner_record& r)
{
    std::int64_t max_percent{0};
    for (const graph_task_id& id : r.runs) {
        const task_ref ref = find_task(c.s, id);
        if (ref && ref.task->current_run && ref.step->latency_target.count > 0) {
            max_percent = std::max(max_percent, ref.task->current_run->load * 100 /
                                                    ref.step->latency_target.count);
        }
    }
    return max_percent;
}

/// \return the expected latency rise at the current paces.
double latency_rise_at_current_pace(const runner_record& r)
{
    return (r.benign_latency_rise * r.benign_pace + r.antagonist_latency_rise * r.antagonist_pace) /
           full_speed;
}

/// Cuts the latency rise budget while a service misses its target, and raises it step by step while
/// all services are well below theirs.
void adjust_latency_rise_budget(const context& c, runner_record& r, std::int64_t max_percent)
{
    if (max_percent < config::disturbed_latency_percent) {
        r.disturbed_since.reset();
    }
    else if (!r.disturbed_since) {
        r.disturbed_since = c.now;
    }
    if (c.now < r.latency_rise_budget_changed_at + config::latency_rise_budget_period) {
        return;
    }
    const double current = latency_rise_at_current_pace(r);
    if (r.disturbed_since && current > 0) {
        r.latency_rise_budget =
            std::min(r.latency_rise_budget, current) * config::latency_rise_budget_cut;
        r.latency_rise_budget_changed_at = c.now;
    }
    else if (max_percent < config::calm_latency_percent &&
             r.latency_rise_budget < config::max_latency_rise_budget) {
        r.latency_rise_budget += config::latency_rise_budget_step;
        r.latency_rise_budget_changed_at = c.now;
    }
}

std::uint32_t antagonist_pace_for_budget(const runner_record& r)
{
    if (r.antagonist_latency_rise <= 0 || r.service_milli_cores == 0) {
        return full_speed;
    }
    const double share =
        (r.latency_rise_budget - r.benign_latency_rise) / r.antagonist_latency_rise;
    constexpr double tenth{10};
    return static_cast<std::uint32_t>(std::floor(std::clamp(share, 0.0, 1.0) * tenth) * tenth);
}

/// \return the wanted pace, or the current one if the change is smaller than `min_pace_change` and
/// the wanted pace is neither 0 nor full speed.
std::uint32_t with_hysteresis(std::uint32_t current, std::uint32_t wanted)
{
    const std::uint32_t change = std::max(current, wanted) - std::min(current, wanted);
    const bool is_large_enough =
        change >= config::min_pace_change || wanted == 0 || wanted == full_speed;
    return is_large_enough ? wanted : current;
}

void order_pace(const context& c, const runner_record& r, const graph_task_id& id, run& paced,
                std::uint32_t pace)
{
    runner_order order = make_order(c, r, id, order_kind::pace, paced.number);
    order.percent = pace;
    paced.pace = pace;
    c.add(std::move(order));
}

void log_runner_paced(const context& c, const runner_record& r, std::uint32_t antagonist_pace,
                      std::uint32_t benign_pace, std::int64_t max_percent)
{
    c.log("runner_paced", {{"runner", r.entry.id.value},
                           {"antagonist_pace", absl::StrCat(antagonist_pace)},
                           {"benign_pace", absl::StrCat(benign_pace)},
                           {"worst_share_of_target", absl::StrCat(max_percent)},
                           {"latency_rise_budget", absl::StrCat(r.latency_rise_budget)},
                           {"benign_latency_rise", absl::StrCat(r.benign_latency_rise)},
                           {"antagonist_latency_rise", absl::StrCat(r.antagonist_latency_rise)}});
}

} // namespace

void pace_runner(const context& c, runner_record& r)
{
    const std::int64_t max_percent = max_latency_percent(c, r);
    adjust_latency_rise_budget(c, r, max_percent);
    const bool is_disturbed_too_long =
        r.disturbed_since && c.now - *r.disturbed_since >= config::max_disturbance_time;
    const std::uint32_t antagonist_pace =
        is_disturbed_too_long ? 0
                              : with_hysteresis(r.antagonist_pace, antagonist_pace_for_budget(r));
    const std::uint32_t benign_pace = is_disturbed_too_long ? 0 : full_speed;
    if (antagonist_pace != r.antagonist_pace || benign_pace != r.benign_pace) {
        log_runner_paced(c, r, antagonist_pace, benign_pace, max_percent);
        r.antagonist_pace = antagonist_pace;
        r.benign_pace = benign_pace;
    }
    for (const graph_task_id& id : r.runs) {
        const task_ref ref = find_task(c.s, id);
        if (!ref || !ref.task->current_run || !ref.step->uses_leftover) {
            continue;
        }
        run& paced = *ref.task->current_run;
        const std::uint32_t pace = is_antagonist(c.s, r, ref) ? antagonist_pace : benign_pace;
        if (paced.pace != pace && paced.phase == run_phase::running) {
            order_pace(c, r, id, paced, pace);
        }
    }
}

} // namespace cuminmoor::central
