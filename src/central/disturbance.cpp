/// \file
/// What disturbs services: how much each image of tasks that use leftover processor time raises the
/// tail latency of each image of services beside it, learned from the runners' reports.
#include "parts.h"

#include <algorithm>
#include <cmath>

namespace cuminmoor::central {

namespace {

constexpr double milli{1'000};

/// Use of one image on a runner, in cores of a reference runner.
using image_use = std::map<image_number, double>;

double scale_of(const runner_record& r)
{
    const double cores = static_cast<double>(r.entry.capacity.milli_cores) / milli;
    return cores > 0 ? config::disturbance_reference_cores / cores : 1;
}

/// Mean share of their targets that services show, in percent, by their image.
std::map<image_number, double> shares_by_image(const context& c, const runner_record& r)
{
    std::map<image_number, std::pair<double, std::uint32_t>> sums;
    for (const graph_task_id& id : r.runs) {
        const task_place place = find_task(c.s, id);
        const bool shows = place && place.task->where && place.step->latency_target.count > 0 &&
                           place.task->where->load > 0;
        if (shows) {
            auto& [sum, count] = sums[place.image];
            sum += 100.0 * static_cast<double>(place.task->where->load) /
                   static_cast<double>(place.step->latency_target.count);
            ++count;
        }
    }
    std::map<image_number, double> shares;
    for (const auto& [image, each] : sums) {
        shares[image] = each.first / each.second;
    }
    return shares;
}

image_use use_by_image(const context& c, const runner_record& r)
{
    image_use use;
    for (const graph_task_id& id : r.runs) {
        const task_place place = find_task(c.s, id);
        if (place && place.task->where && place.step->uses_leftover) {
            use[place.image] += static_cast<double>(place.task->where->load) / milli * scale_of(r);
        }
    }
    return use;
}

double percent_per_core(const central_state& s, image_number service, image_number neighbour)
{
    const double odds = s.scheduler.learned.pressures[service][neighbour].log_odds;
    if (std::abs(odds) < config::known_log_odds) {
        return config::unknown_percent_per_core;
    }
    return odds > 0 ? config::disturbing_percent_per_core : config::harmless_percent_per_core;
}

void add_evidence(image_pressure& p, double evidence)
{
    p.log_odds = std::clamp(p.log_odds + evidence, -config::max_log_odds, config::max_log_odds);
    ++p.reports;
}

/// The service is calm: whoever works beside it does not disturb it.
void clear_neighbours(central_state& s, image_number service, const image_use& use)
{
    for (const auto& [image, cores] : use) {
        if (cores >= config::telling_use_cores) {
            const double evidence = cores / (2 * config::telling_use_cores);
            add_evidence(s.scheduler.learned.pressures[service][image],
                         -std::min(evidence, config::max_quiet_evidence));
        }
    }
}

/// The service suffers: its neighbours share the blame, by their use and by how likely each is.
void blame_neighbours(central_state& s, image_number service, const image_use& use)
{
    auto& pressures = s.scheduler.learned.pressures[service];
    const auto suspicion = [&pressures](image_number image, double cores) {
        const double odds = std::exp(pressures[image].log_odds);
        return cores >= config::blamed_use_cores ? cores * odds / (1 + odds) : 0.0;
    };
    double total{0};
    for (const auto& [image, cores] : use) {
        total += suspicion(image, cores);
    }
    if (total <= 0) {
        return;
    }
    std::map<image_number, double> evidence;
    for (const auto& [image, cores] : use) {
        evidence[image] = config::loud_evidence * suspicion(image, cores) / total;
    }
    for (const auto& [image, each] : evidence) {
        add_evidence(pressures[image], each);
    }
}

void learn_from(central_state& s, image_number service, const image_use& use, double rise)
{
    if (rise < config::quiet_rise) {
        clear_neighbours(s, service, use);
    }
    else if (rise > config::loud_rise) {
        blame_neighbours(s, service, use);
    }
}

double worst_percent_per_core(const central_state& s, const runner_record& r,
                              image_number neighbour)
{
    double worst{0};
    for (const auto& [service, cores] : r.service_images) {
        worst = std::max(worst, percent_per_core(s, service, neighbour));
    }
    return worst;
}

double reference_cores(const runner_record& r, const graph_step& step)
{
    return static_cast<double>(step.task_size.milli_cores) / milli * scale_of(r);
}

} // namespace

double expected_rise(const central_state& s, const runner_record& r, const task_place& place)
{
    return worst_percent_per_core(s, r, place.image) * reference_cores(r, *place.step);
}

bool is_heavy(const central_state& s, const runner_record& r, const task_place& place)
{
    return place.step->uses_leftover &&
           worst_percent_per_core(s, r, place.image) >= config::heavy_percent_per_core;
}

void number_images(const context& c, job_record& job)
{
    learned_disturbance& s = c.s.scheduler.learned;
    job.images.clear();
    for (const graph_step& step : job.spec.steps) {
        const auto next = static_cast<image_number>(s.images.size());
        job.images.push_back(s.images.try_emplace(step.image, next).first->second);
    }
    s.pressures.resize(s.images.size());
    for (auto& row : s.pressures) {
        row.resize(s.images.size());
    }
}

void learn_disturbance(const context& c, const runner_record& r)
{
    if (r.service_cores == 0) {
        return;
    }
    const image_use use = use_by_image(c, r);
    double& undisturbed = c.s.scheduler.learned.undisturbed_percent;
    for (const auto& [image, share] : shares_by_image(c, r)) {
        if (use.empty()) {
            undisturbed += config::undisturbed_weight * (share - undisturbed);
        }
        else {
            learn_from(c.s, image, use, share - undisturbed);
        }
    }
}

void expect_disturbance(const context& c, runner_record& r)
{
    r.light_rise = 0;
    r.heavy_rise = 0;
    for (const auto& [service, cores] : r.service_images) {
        double light{0};
        double heavy{0};
        for (const graph_task_id& id : r.runs) {
            const task_place place = find_task(c.s, id);
            if (!place || !place.step->uses_leftover) {
                continue;
            }
            const double rise =
                percent_per_core(c.s, service, place.image) * reference_cores(r, *place.step);
            (is_heavy(c.s, r, place) ? heavy : light) += rise;
        }
        r.light_rise = std::max(r.light_rise, light);
        r.heavy_rise = std::max(r.heavy_rise, heavy);
    }
}

} // namespace cuminmoor::central
