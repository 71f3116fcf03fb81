/// \file
/// Pacing: throttles leftover tasks so that services on the same runner meet their latency targets.
///
/// With `scheduling_options::service_headroom` benign tasks are throttled too: each disturbs
/// little, but many of them together raise the tail latency while a service's demand peaks. They
/// run at full speed while leftover tasks wait for a runner: slower ones would make them wait
/// longer.
#include "central/runs/run_parts.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

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
           full_pace;
}

/// Cuts the latency rise budget while a service is disturbed, and raises it step by step while all
/// services are well below their targets.
void adjust_latency_rise_budget(const context& c, runner_record& r)
{
    if (c.now < r.latency_rise_budget_changed_at + config::latency_rise_budget_period) {
        return;
    }
    const double current = latency_rise_at_current_pace(r);
    if (r.is_disturbed && current > 0) {
        r.latency_rise_budget =
            std::min(r.latency_rise_budget, current) * config::latency_rise_budget_cut;
        r.latency_rise_budget_changed_at = c.now;
    }
    else if (r.latency_percent < config::calm_latency_percent &&
             r.latency_rise_budget < config::max_latency_rise_budget) {
        r.latency_rise_budget += config::latency_rise_budget_step;
        r.latency_rise_budget_changed_at = c.now;
    }
}

/// \return true if a service has missed its target for too long, or may have, for want of reports.
bool must_pause(const context& c, const runner_record& r)
{
    if (!hosts_services_and_leftover(r)) {
        return false;
    }
    if (!r.targets_met_at) {
        return r.is_disturbed;
    }
    const millis limit =
        r.is_disturbed ? config::max_disturbance_time : config::max_time_without_report;
    return c.now - *r.targets_met_at >= limit;
}

std::uint32_t antagonist_pace_for_budget(const runner_record& r)
{
    if (r.antagonist_latency_rise <= 0 || r.service_milli_cores == 0) {
        return full_pace;
    }
    const double share =
        (r.latency_rise_budget - r.benign_latency_rise) / r.antagonist_latency_rise;
    constexpr double tenth{10};
    return static_cast<std::uint32_t>(std::floor(std::clamp(share, 0.0, 1.0) * tenth) * tenth);
}

/// \return the pace of leftover tasks that are not known to disturb the services there.
std::uint32_t benign_pace_for_services(const context& c, const runner_record& r)
{
    const auto& waited_at = c.s.scheduler.leftover_waited_at;
    const bool is_room_short = waited_at && c.now - *waited_at < config::headroom_pause;
    const bool has_limit =
        c.s.self.options.service_headroom && !is_room_short && hosts_services_and_leftover(r);
    return has_limit ? pace_for_headroom(r.latency_percent) : full_pace;
}

/// \return the wanted pace, or the current one if the change is smaller than `min_pace_change` and
/// the wanted pace is neither 0 nor full speed.
std::uint32_t with_hysteresis(std::uint32_t current, std::uint32_t wanted)
{
    const std::uint32_t change = std::max(current, wanted) - std::min(current, wanted);
    const bool is_large_enough =
        change >= config::min_pace_change || wanted == 0 || wanted == full_pace;
    return is_large_enough ? wanted : current;
}

void order_pace(const context& c, const runner_record& r, const graph_task_id& id, run& paced,
                std::uint32_t pace)
{
    runner_order order = make_order(c, r, id, order_kind::pace, paced.number);
    order.percent = pace;
    paced.pace = pace;
    paced.paced_at = c.now;
    c.add(std::move(order));
}

/// \return the task's reported processor use in percent of its request.
std::int64_t cpu_use_percent(const graph_step& step, const run& r)
{
    const std::int64_t requested = step.task_size.milli_cores;
    return requested > 0 ? r.load * full_pace / requested : 0;
}

/// \return true if a task works on although its pause was ordered long enough ago. An older order
/// that was carried out late, for example, has replaced it.
bool ignores_pause(const context& c, const graph_step& step, const run& r)
{
    return r.pace == 0 && c.now - r.paced_at >= config::pace_check_delay &&
           cpu_use_percent(step, r) >= config::paused_cpu_use_percent;
}

void pace_run(const context& c, const runner_record& r, const graph_task_id& id, task_ref ref,
              std::uint32_t wanted)
{
    run& paced = *ref.task->current_run;
    const bool is_evidently_unthrottled =
        paced.pace == unknown_pace && wanted == full_pace &&
        cpu_use_percent(*ref.step, paced) >= config::unthrottled_cpu_use_percent;
    if (is_evidently_unthrottled) {
        paced.pace = full_pace;
    }
    if (ignores_pause(c, *ref.step, paced)) {
        log_run(c, "pause_ignored", id, paced, "stopped");
        stop_run(c, id, paced);
    }
    else if (paced.pace != wanted) {
        order_pace(c, r, id, paced, wanted);
    }
}

void log_runner_paced(const context& c, const runner_record& r)
{
    c.log("runner_paced",
          {{"runner", r.entry.id.value},
           {"antagonist_pace", absl::StrCat(r.antagonist_pace)},
           {"benign_pace", absl::StrCat(r.benign_pace)},
           {"worst_share_of_target", absl::StrCat(r.latency_percent)},
           {"met_ms_ago",
            r.targets_met_at ? absl::StrCat((c.now - *r.targets_met_at).count) : "unknown"},
           {"latency_rise_budget", absl::StrCat(r.latency_rise_budget)},
           {"benign_latency_rise", absl::StrCat(r.benign_latency_rise)},
           {"antagonist_latency_rise", absl::StrCat(r.antagonist_latency_rise)}});
}

} // namespace

bool hosts_services_and_leftover(const runner_record& r)
{
    return r.service_milli_cores > 0 && r.leftover_milli_cores > 0;
}

std::uint32_t pace_for_headroom(std::int64_t latency_percent)
{
    constexpr std::int64_t range{config::no_headroom_latency_percent -
                                 config::calm_latency_percent};
    constexpr std::int64_t tenths{10};
    const std::int64_t left = config::no_headroom_latency_percent - latency_percent;
    const std::int64_t share = std::clamp<std::int64_t>(left * tenths / range, 0, tenths);
    return static_cast<std::uint32_t>(share) * (full_pace / tenths);
}

void observe_latency(const context& c, runner_record& r, instant shown_at)
{
    r.latency_percent = max_latency_percent(c, r);
    r.is_disturbed = r.latency_percent >= config::disturbed_latency_percent;
    if (!r.is_disturbed) {
        r.targets_met_at = std::max(r.targets_met_at.value_or(shown_at), shown_at);
    }
    adjust_latency_rise_budget(c, r);
    r.is_paused = must_pause(c, r);
}

void pace_runner(const context& c, runner_record& r)
{
    const std::uint32_t wanted = with_hysteresis(r.antagonist_pace, antagonist_pace_for_budget(r));
    const std::uint32_t antagonist_pace = r.is_paused ? 0 : wanted;
    const std::uint32_t benign_wanted =
        with_hysteresis(r.benign_pace, benign_pace_for_services(c, r));
    const std::uint32_t benign_pace = r.is_paused ? 0 : benign_wanted;
    if (antagonist_pace != r.antagonist_pace || benign_pace != r.benign_pace) {
        r.antagonist_pace = antagonist_pace;
        r.benign_pace = benign_pace;
        log_runner_paced(c, r);
    }
    for (const graph_task_id& id : r.runs) {
        const task_ref ref = find_task(c.s, id);
        const bool is_paced = ref && ref.task->current_run && ref.step->uses_leftover &&
                              ref.task->current_run->phase == run_phase::running;
        if (is_paced) {
            pace_run(c, r, id, ref, is_antagonist(c.s, r, ref) ? antagonist_pace : benign_pace);
        }
    }
}

void pause_if_reports_are_overdue(const context& c, runner_record& r)
{
    const bool is_due = !r.is_paused && r.is_responsive && may_send_orders(c) && must_pause(c, r);
    if (!is_due) {
        return;
    }
    r.is_paused = true;
    pace_runner(c, r);
}

} // namespace cuminmoor::central
