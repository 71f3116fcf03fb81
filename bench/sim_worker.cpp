/// \file
/// A simulated worker and its interference model.
#include "sim_worker.h"

#include <algorithm>
#include <cstdlib>

#include "absl/strings/str_cat.h"

namespace cuminmoor::bench {

namespace {

constexpr int highest_p99_step = 1'000;
/// Share of the newest sample in the p99 that is reported.
constexpr double p99_smoothing = 0.3;

} // namespace

double sim_worker::interference_on(const task_truth& service) const
{
    double rise = 0;
    for (const auto& [id, a] : attempts_) {
        if (a.status == task_status::running && !a.truth->is_service) {
            const double cores = static_cast<double>(a.truth->milli_cores) / 1'000 * a.throttle;
            rise += load_.interference.at({service.job_class, a.truth->job_class}) * cores / 8;
        }
    }
    return rise;
}

void sim_worker::run_service(attempt& a, double slow_down, double seconds, instant now)
{
    const double rise = interference_on(*a.truth) * load_.load_at(now);
    const double relative = (1 + rise) * slow_down * slow_down;
    a.p99_us += p99_smoothing * (base_p99_us * relative - a.p99_us);
    const int step = std::min(static_cast<int>(relative * 10), highest_p99_step);
    totals_.p99_seconds[step] += seconds;
}

void sim_worker::run_batch(attempt& a, double slow_down, double seconds)
{
    const double done = seconds * a.throttle / slow_down;
    a.progress_ms += done * 1'000;
    const double work = done * static_cast<double>(a.truth->milli_cores) / 1'000;
    totals_.batch_progress[ran_until_.ms / 1'000] += work;
    if (fails_everything || (a.truth->always_fails && a.progress_ms > 2'000)) {
        a.status = task_status::failed;
    }
    else if (a.progress_ms >= static_cast<double>(a.truth->run_time.count)) {
        a.status = task_status::finished;
    }
}

void sim_worker::run_until(instant now)
{
    const double seconds = static_cast<double>((now - ran_until_).count) / 1'000;
    double used = 0;
    resources committed;
    for (const auto& [id, a] : attempts_) {
        if (a.status == task_status::running) {
            used += static_cast<double>(a.truth->milli_cores) * a.throttle;
            committed += a.size;
        }
    }
    totals_.overcommitted += committed.fits(capacity) ? 0 : 1;
    const double slow_down = std::max(1.0, used / static_cast<double>(capacity.milli_cores));
    for (auto& [id, a] : attempts_) {
        if (a.status != task_status::running) {
            continue;
        }
        if (a.truth->is_service) {
            run_service(a, slow_down, seconds, now);
        }
        else {
            run_batch(a, slow_down, seconds);
        }
    }
    ran_until_ = now;
}

void sim_worker::start(const start_order& order, instant now)
{
    const key k{order.task, order.attempt};
    if (attempts_.contains(k) || now.ms >= order.start_before.ms) {
        return;
    }
    attempt a;
    a.size = order.size;
    a.truth = &load_.truth.at(order.task.job);
    a.checkpoint = order.checkpoint;
    a.progress_ms = std::strtod(order.checkpoint.c_str(), nullptr);
    attempts_.emplace(k, a);
}

void sim_worker::execute(const worker_order& order, instant now)
{
    if (const auto* const s = std::get_if<start_order>(&order)) {
        start(*s, now);
        return;
    }
    std::visit(
        [this](const auto& o) {
            const auto at = attempts_.find({o.task, o.attempt});
            if (at == attempts_.end()) {
                return;
            }
            auto& a = at->second;
            using order_type = std::decay_t<decltype(o)>;
            if constexpr (std::is_same_v<order_type, stop_order>) {
                if (a.status == task_status::running) {
                    a.status = task_status::stopped;
                    if (o.checkpoint) {
                        a.checkpoint = absl::StrCat(static_cast<std::int64_t>(a.progress_ms));
                    }
                }
            }
            else if constexpr (std::is_same_v<order_type, throttle_order>) {
                a.throttle = static_cast<double>(o.permille) / 1'000;
            }
            else if (a.status != task_status::running) {
                attempts_.erase(at);
            }
        },
        order);
}

worker_report sim_worker::report(instant now) const
{
    worker_report r;
    r.incarnation = std::string(1, '1');
    r.clock = {now.ms};
    r.capacity = capacity;
    r.rack = rack;
    for (const auto& [k, a] : attempts_) {
        const resources usage{a.truth->milli_cores, a.size.memory_mib / 2, 0};
        r.tasks.push_back({k.first, k.second, a.status, a.checkpoint, usage,
                           a.truth->is_service ? static_cast<std::int64_t>(a.p99_us) : 0});
    }
    return r;
}

worker_report sim_worker::handle(const worker_sync& sync, instant now)
{
    run_until(now);
    for (const auto& order : sync.orders) {
        execute(order, now);
    }
    return report(now);
}

} // namespace cuminmoor::bench
