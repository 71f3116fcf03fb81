/// \file
/// Interference estimation by normalized least mean squares (NLMS).
#include "cuminmoor/interference.h"

#include <algorithm>

#include "cuminmoor/config.h"

namespace cuminmoor {

void interference_model::update(const std::string& service, double p99_us,
                                const std::map<std::string, double>& batch_cores)
{
    auto& s = services_[service];
    s.baseline_us = s.baseline_us == 0
                        ? p99_us
                        : std::min(p99_us, s.baseline_us * (1 + config::best_latency_growth));
    double predicted = 0;
    double norm = 1;
    for (const auto& [name, cores] : batch_cores) {
        predicted += s.latency_rise_per_core[name] * cores;
        norm += cores * cores;
    }
    const double error = p99_us / s.baseline_us - 1 - predicted;
    for (const auto& [name, cores] : batch_cores) {
        auto& latency_rise = s.latency_rise_per_core[name];
        latency_rise =
            std::max(0.0, latency_rise + config::interference_step * error * cores / norm);
    }
}

double interference_model::latency_rise_per_core(const std::string& service,
                                                 const std::string& batch_class) const
{
    const auto s = services_.find(service);
    if (s == services_.end()) {
        return 0;
    }
    const auto found = s->second.latency_rise_per_core.find(batch_class);
    return found == s->second.latency_rise_per_core.end() ? 0 : found->second;
}

double interference_model::latency_rise_from_batch(const workload_mix& mix,
                                                   const std::string& batch_class,
                                                   double cores) const
{
    double sum = 0;
    for (const auto& [service, tasks] : mix.services) {
        sum += latency_rise_per_core(service, batch_class) * cores * tasks;
    }
    return sum;
}

double interference_model::latency_rise_of_service(const workload_mix& mix,
                                                   const std::string& service) const
{
    double sum = 0;
    for (const auto& [name, cores] : mix.batch_cores) {
        sum += latency_rise_per_core(service, name) * cores;
    }
    return sum;
}

} // namespace cuminmoor
