/// \file
/// Running estimate of how long a service takes to answer.
#pragma once

#include <cstdint>

#include "cuminmoor/clock.h"

namespace cuminmoor {

/// Smoothed mean and mean deviation (as in RFC 6298), in microseconds. Without new samples the
/// estimate decays, so that a service which was once slow is tried again.
class service_time_estimator {
public:
    /// \param taken from the dispatch to the whole answer.
    void add_sample(millis duration, instant now);
    /// \return mean in microseconds, 0 before the first sample.
    [[nodiscard]] std::int64_t mean_us(instant now) const;
    /// \return time within which most answers come, rounded up.
    [[nodiscard]] millis mean_plus_deviation(instant now) const;

private:
    [[nodiscard]] std::int64_t decayed(std::int64_t value, instant now) const;

    std::int64_t mean_us_{0};
    std::int64_t deviation_us_{0};
    instant last_sample_at_;
};

} // namespace cuminmoor
