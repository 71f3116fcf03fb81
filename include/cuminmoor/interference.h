/// \file
/// Interference model: how much each class of batch work raises the tail latency of each service.
#pragma once

#include <map>
#include <string>

namespace cuminmoor {

/// Work colocated on a worker: cores per class of batch work, tasks per service.
struct workload_mix {
    std::map<std::string, double> batch_cores;
    std::map<std::string, int> services;
};

/// Estimates interference from the workers' reports, which lag. Volatile: a new lease holder starts
/// with an empty model.
class interference_model {
public:
    /// Updates the estimates with a service's tail latency measured next to that batch work.
    void update(const std::string& service, double p99_us,
                const std::map<std::string, double>& batch_cores);

    /// \return the relative rise of the service's tail latency over its baseline, per core of the
    /// class; 0 if nothing is known.
    [[nodiscard]] double latency_rise_per_core(const std::string& service,
                                               const std::string& batch_class) const;

    /// \return the sum of the latency rises of all service tasks in the mix if `cores` cores of a
    /// batch class are added.
    [[nodiscard]] double latency_rise_from_batch(const workload_mix& mix,
                                                 const std::string& batch_class,
                                                 double cores) const;

    /// \return the latency rise of a service next to the batch work of the mix.
    [[nodiscard]] double latency_rise_of_service(const workload_mix& mix,
                                                 const std::string& service) const;

private:
    struct service_estimate {
        /// Lowest tail latency seen; grows slowly, so that old measurements lose their effect.
        double baseline_us{0};
        /// Never negative.
        std::map<std::string, double> latency_rise_per_core;
    };

    std::map<std::string, service_estimate> services_;
};

} // namespace cuminmoor
