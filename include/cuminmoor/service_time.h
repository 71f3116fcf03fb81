/// \file
/// Estimator of a service's response time.
#pragma once

#include <cstdint>

#include "cuminmoor/clock.h"

namespace cuminmoor {

/// Smoothed mean and mean deviation (as in RFC 6298), in microseconds. The estimate decays without
/// new samples, so that a service that was slow in the past is tried again.
class service_time_estimator {
public:
    /// \param duration time from the dispatch to the complete answer.
    void add_sample(millis duration, instant now);
    /// \return mean in microseconds; 0 before the first sample.
    [[nodiscard]] std::int64_t mean_us(instant now) const;
    /// \return mean plus mean deviation, rounded up to milliseconds; most answers arrive within it.
    [[nodiscard]] millis mean_plus_deviation(instant now) const;

private:
    [[nodiscard]] std::int64_t decayed(std::int64_t value, instant now) const;

    std::int64_t mean_us_{0};
    std::int64_t deviation_us_{0};
    instant last_sample_at_;
};

} // namespace cuminmoor
