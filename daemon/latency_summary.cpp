/// \file
/// Latency quantiles with Boost.Accumulators; the only file that includes this library.
#include "latency_summary.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace cuminmoor::io {

namespace {

namespace acc = boost::accumulators;

constexpr std::chrono::seconds window_length{10};

using quantile_accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

} // namespace

struct latency_summary::window {
    quantile_accumulator values{acc::tag::extended_p_square::probabilities = latency_probabilities};

    [[nodiscard]] latency_quantiles read() const
    {
        latency_quantiles q;
        q.count = acc::count(values);
        // The estimator needs at least as many samples as it has markers.
        constexpr std::size_t markers{2 * latency_probabilities.size() + 3};
        if (q.count >= markers) {
            for (std::size_t i = 0; i < q.us.size(); ++i) {
                q.us.at(i) = acc::extended_p_square(values)[static_cast<std::ptrdiff_t>(i)];
            }
        }
        return q;
    }
};

latency_summary::latency_summary()
    : current_{std::make_unique<window>()}, current_started_at_{measuring_clock::now()}
{
}

latency_summary::~latency_summary() = default;

void latency_summary::add(measuring_clock::duration latency)
{
    const std::lock_guard lock{mutex_};
    rotate_windows(measuring_clock::now());
    current_->values(std::chrono::duration<double, std::micro>(latency).count());
}

latency_quantiles latency_summary::read()
{
    const std::lock_guard lock{mutex_};
    rotate_windows(measuring_clock::now());
    return has_last_full_ ? last_full_ : current_->read();
}

void latency_summary::rotate_windows(measuring_clock::time_point now)
{
    if (now - current_started_at_ < window_length) {
        return;
    }
    // A window that ended more than a window length ago is outdated and is discarded.
    const bool is_fresh = now - current_started_at_ < 2 * window_length;
    last_full_ = is_fresh ? current_->read() : latency_quantiles{};
    has_last_full_ = is_fresh;
    current_ = std::make_unique<window>();
    current_started_at_ = now;
}

} // namespace cuminmoor::io
