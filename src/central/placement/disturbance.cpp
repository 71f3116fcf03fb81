/// \file
/// Disturbance model (performance interference): estimates how much leftover tasks of one image
/// raise the tail latency of services of another image on the same runner. It learns from the
/// runners' reports.
#include "central/parts.h"

#include <algorithm>
#include <cmath>

namespace cuminmoor::central {

namespace {

constexpr double milli{1'000};

/// Processor use on a runner by image, in cores of a reference runner.
using image_cpu_use = std::map<image_number, double>;

double reference_scale(const runner_record& r)
{
    const double cores = static_cast<double>(r.entry.capacity.milli_cores) / milli;
    return cores > 0 ? config::disturbance_reference_cores / cores : 1;
}

/// \return mean tail latency of the services on a runner in percent of their targets, by image.
std::map<image_number, double> latency_percent_by_image(const context& c, const runner_record& r)
{
    std::map<image_number, std::pair<double, std::uint32_t>> sums;
    for (const graph_task_id& id : r.runs) {
        const task_ref ref = find_task(c.s, id);
        const bool is_measured = ref && ref.task->current_run &&
                                 ref.step->latency_target.count > 0 &&
                                 ref.task->current_run->load > 0;
        if (is_measured) {
            auto& [sum, count] = sums[ref.image];
            sum += 100.0 * static_cast<double>(ref.task->current_run->load) /
                   static_cast<double>(ref.step->latency_target.count);
            ++count;
        }
    }
    std::map<image_number, double> percents;
    for (const auto& [image, value] : sums) {
        percents[image] = value.first / value.second;
    }
    return percents;
}

image_cpu_use cpu_use_by_image(const context& c, const runner_record& r)
{
    image_cpu_use use;
    for (const graph_task_id& id : r.runs) {
        const task_ref ref = find_task(c.s, id);
        if (ref && ref.task->current_run && ref.step->uses_leftover) {
            use[ref.image] +=
                static_cast<double>(ref.task->current_run->load) / milli * reference_scale(r);
        }
    }
    return use;
}

double percent_per_core(const central_state& s, image_number service, image_number neighbour)
{
    const double log_odds = s.scheduler.learned_disturbance.estimates[service][neighbour].log_odds;
    if (std::abs(log_odds) < config::known_log_odds) {
        return config::unknown_percent_per_core;
    }
    return log_odds > 0 ? config::disturbing_percent_per_core : config::harmless_percent_per_core;
}

void add_evidence(disturbance_estimate& estimate, double evidence)
{
    estimate.log_odds =
        std::clamp(estimate.log_odds + evidence, -config::max_log_odds, config::max_log_odds);
    ++estimate.reports;
}

/// Lowers the odds that the neighbours disturb a service whose latency is near its baseline. Only
/// neighbours with enough processor use count as evidence.
void lower_disturbance_odds(central_state& s, image_number service, const image_cpu_use& use)
{
    for (const auto& [image, cores] : use) {
        if (cores >= config::harmless_evidence_min_cores) {
            const double evidence = cores / (2 * config::harmless_evidence_min_cores);
            add_evidence(s.scheduler.learned_disturbance.estimates[service][image],
                         -std::min(evidence, config::max_harmless_evidence));
        }
    }
}

/// Raises the odds that the neighbours disturb a service whose latency is far above its baseline.
/// The evidence is divided among them by processor use and current probability.
void raise_disturbance_odds(central_state& s, image_number service, const image_cpu_use& use)
{
    auto& estimates = s.scheduler.learned_disturbance.estimates[service];
    const auto blame_weight = [&estimates](image_number image, double cores) {
        const double odds = std::exp(estimates[image].log_odds);
        return cores >= config::disturbing_evidence_min_cores ? cores * odds / (1 + odds) : 0.0;
    };
    double total{0};
    for (const auto& [image, cores] : use) {
        total += blame_weight(image, cores);
    }
    if (total <= 0) {
        return;
    }
    std::map<image_number, double> evidence;
    for (const auto& [image, cores] : use) {
        evidence[image] = config::disturbing_evidence * blame_weight(image, cores) / total;
    }
    for (const auto& [image, value] : evidence) {
        add_evidence(estimates[image], value);
    }
}

void update_estimates(central_state& s, image_number service, const image_cpu_use& use, double rise)
{
    if (rise < config::harmless_latency_rise) {
        lower_disturbance_odds(s, service, use);
    }
    else if (rise > config::disturbing_latency_rise) {
        raise_disturbance_odds(s, service, use);
    }
}

double max_percent_per_core(const central_state& s, const runner_record& r, image_number neighbour)
{
    double max_percent{0};
    for (const auto& [service, cores] : r.service_milli_cores_by_image) {
        max_percent = std::max(max_percent, percent_per_core(s, service, neighbour));
    }
    return max_percent;
}

double cores_on_reference_runner(const runner_record& r, const graph_step& step)
{
    return static_cast<double>(step.task_size.milli_cores) / milli * reference_scale(r);
}

} // namespace

double expected_latency_rise(const central_state& s, const runner_record& r, const task_ref& ref)
{
    return max_percent_per_core(s, r, ref.image) * cores_on_reference_runner(r, *ref.step);
}

bool is_antagonist(const central_state& s, const runner_record& r, const task_ref& ref)
{
    return ref.step->uses_leftover &&
           max_percent_per_core(s, r, ref.image) >= config::antagonist_percent_per_core;
}

void assign_image_numbers(const context& c, job_record& job)
{
    disturbance_model& model = c.s.scheduler.learned_disturbance;
    job.images.clear();
    for (const graph_step& step : job.spec.steps) {
        const auto next = static_cast<image_number>(model.images.size());
        job.images.push_back(model.images.try_emplace(step.image, next).first->second);
    }
    model.estimates.resize(model.images.size());
    for (auto& row : model.estimates) {
        row.resize(model.images.size());
    }
}

void learn_disturbance(const context& c, const runner_record& r)
{
    if (r.service_milli_cores == 0) {
        return;
    }
    const image_cpu_use use = cpu_use_by_image(c, r);
    double& baseline = c.s.scheduler.learned_disturbance.baseline_latency_percent;
    for (const auto& [image, latency_percent] : latency_percent_by_image(c, r)) {
        if (use.empty()) {
            baseline += config::baseline_latency_weight * (latency_percent - baseline);
        }
        else {
            update_estimates(c.s, image, use, latency_percent - baseline);
        }
    }
}

void update_expected_disturbance(const context& c, runner_record& r)
{
    r.benign_latency_rise = 0;
    r.antagonist_latency_rise = 0;
    for (const auto& [service, cores] : r.service_milli_cores_by_image) {
        double benign_rise{0};
        double antagonist_rise{0};
        for (const graph_task_id& id : r.runs) {
            const task_ref ref = find_task(c.s, id);
            if (!ref || !ref.step->uses_leftover) {
                continue;
            }
            const double rise =
                percent_per_core(c.s, service, ref.image) * cores_on_reference_runner(r, *ref.step);
            (is_antagonist(c.s, r, ref) ? antagonist_rise : benign_rise) += rise;
        }
        r.benign_latency_rise = std::max(r.benign_latency_rise, benign_rise);
        r.antagonist_latency_rise = std::max(r.antagonist_latency_rise, antagonist_rise);
    }
}

} // namespace cuminmoor::central
