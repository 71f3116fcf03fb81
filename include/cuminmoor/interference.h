/// \file
/// Learned interference: how much each class of batch work raises the tail latency of each service.
#pragma once

#include <map>
#include <string>

namespace cuminmoor {

/// What shares a worker, in cores by class of batch work and in tasks by service.
struct workload_mix {
    std::map<std::string, double> batch_cores;
    std::map<std::string, int> services;
};

/// Estimates from lagging reports. Volatile: a new holder of the lease learns anew.
class interference_model {
public:
    /// Takes in one report of a service's tail latency on a worker with that batch work.
    void update(const std::string& service, double p99_us,
                const std::map<std::string, double>& batch_cores);

    /// \return the rise of the service's tail latency relative to its best, per core of the class.
    [[nodiscard]] double rise_per_core(const std::string& service,
                                       const std::string& batch_class) const;

    /// \return the sum of the rises that `cores` of a class would add to the services of a mix.
    [[nodiscard]] double rise_from_batch(const workload_mix& mix, const std::string& batch_class,
                                         double cores) const;

    /// \return the rise that the service would meet in a mix.
    [[nodiscard]] double rise_of_service(const workload_mix& mix, const std::string& service) const;

private:
    struct service_estimate {
        /// Least tail latency seen, which slowly forgets.
        double baseline_us{0};
        /// Never negative.
        std::map<std::string, double> rise_per_core;
    };

    std::map<std::string, service_estimate> services_;
};

} // namespace cuminmoor
