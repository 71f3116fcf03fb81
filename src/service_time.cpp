/// \file
/// Estimator of a service's response time.
#include "cuminmoor/service_time.h"

#include <algorithm>
#include <cstdlib>

#include "cuminmoor/config.h"

namespace cuminmoor {

namespace {

constexpr std::int64_t us_per_ms{1'000};
constexpr std::int64_t mean_gain{16};
constexpr std::int64_t deviation_gain{8};
/// Samples are capped at this multiple of the mean, to limit the effect of one outlier.
constexpr std::int64_t max_sample_ratio{8};
constexpr std::int64_t max_halvings{62};

} // namespace

void service_time_estimator::add_sample(millis duration, instant now)
{
    const std::int64_t sample = duration.count * us_per_ms;
    const std::int64_t mean = mean_us(now);
    if (mean == 0) {
        mean_us_ = sample;
        deviation_us_ = sample / 2;
    }
    else {
        const std::int64_t bounded = std::min(sample, (mean + us_per_ms) * max_sample_ratio);
        const std::int64_t deviation = decayed(deviation_us_, now);
        deviation_us_ = deviation + (std::abs(bounded - mean) - deviation) / deviation_gain;
        mean_us_ = mean + (bounded - mean) / mean_gain;
    }
    last_sample_at_ = now;
}

std::int64_t service_time_estimator::mean_us(instant now) const
{
    return decayed(mean_us_, now);
}

millis service_time_estimator::mean_plus_deviation(instant now) const
{
    const std::int64_t us = decayed(mean_us_, now) + decayed(deviation_us_, now);
    return {(us + us_per_ms - 1) / us_per_ms};
}

std::int64_t service_time_estimator::decayed(std::int64_t value, instant now) const
{
    const std::int64_t halvings =
        (now - last_sample_at_).count / config::service_time_half_life.count;
    return value >> std::clamp<std::int64_t>(halvings, 0, max_halvings);
}

} // namespace cuminmoor
