/// \file
/// Generator of the policy benchmark's workload.
#include "workload.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace cuminmoor::bench {

namespace {

constexpr millis wave_period{120'000};
constexpr millis wave_length{20'000};
/// Between the arrivals of two service tasks, among the batch work.
constexpr millis service_spacing{1'500};
/// Somewhat more than the workers can do.
constexpr double tasks_per_worker_second = 0.3;

class generator {
public:
    generator(const deployment& d, std::uint64_t seed) : deployment_{d}, random_{seed} {}

    workload make(millis length)
    {
        make_interference();
        make_services();
        for (std::int64_t t = 1'000; t < length.count; t += 1'000) {
            make_second({t});
        }
        make_loads(length);
        made_.cancelled_at = {length.count / 2 + 30'000};
        std::stable_sort(made_.submissions.begin(), made_.submissions.end(),
                         [](const auto& a, const auto& b) { return a.at < b.at; });
        return std::move(made_);
    }

private:
    double uniform(double low, double high)
    {
        const double unit = static_cast<double>(random_() >> 11U) * 0x1.0p-53;
        return low + unit * (high - low);
    }
    int below(int n) { return static_cast<int>(random_() % static_cast<std::uint64_t>(n)); }
    /// Factor between truth and declaration, by the square of a uniform exponent.
    double error_factor() { return std::pow(2.0, uniform(-1.5, 1.5)); }

    void make_interference()
    {
        for (int s = 0; s < service_count; ++s) {
            for (int k = 0; k < class_count; ++k) {
                const bool hurts = uniform(0, 1) < 0.25;
                made_.interference[{service_name(s), class_name(k)}] =
                    hurts ? uniform(0.5, 2.0) : 0.02;
            }
        }
        for (auto& factor : class_size_factor_) {
            factor = uniform(0.3, 1.0);
        }
    }

    void make_services()
    {
        for (int i = 0; i < deployment_.workers; ++i) {
            const int s = i % service_count;
            job_spec spec;
            spec.id = {absl::StrCat("service-", i)};
            spec.team = {team_name(s)};
            spec.kind = work_class::latency_critical;
            spec.task_size = {8'000, 16'000, 0};
            spec.run_time = {86'400'000};
            spec.job_class = service_name(s);
            made_.truth[spec.id] = {true, service_name(s), 4'000, spec.run_time, false};
            made_.submissions.push_back({{i * service_spacing.count}, spec});
        }
    }

    /// Arrivals of one second.
    void make_second(instant at)
    {
        const double tasks_per_second = deployment_.workers * tasks_per_worker_second;
        owed_ += tasks_per_second * uniform(0.5, 1.5);
        while (owed_ >= 1) {
            owed_ -= make_job(at, below(class_count));
        }
        if (at.ms % wave_period.count < wave_length.count && at.ms >= wave_period.count) {
            const int noisy = static_cast<int>(at.ms / wave_period.count) % class_count;
            (void)make_job(at, noisy);
        }
    }

    int make_job(instant at, int k)
    {
        job_spec spec;
        spec.id = {absl::StrCat("job-", next_job_++)};
        // Teams are equal in weight; the first one submits most, each more than its share.
        const int team = below(4) == 0 ? 0 : below(team_count);
        spec.team = {team_name(team)};
        spec.tasks = static_cast<std::uint32_t>(1 + below(6));
        spec.task_size = {4'000 + 4'000 * below(3), 8'000 + 4'000 * below(4), 0};
        spec.run_time = {15'000 + 5'000 * below(6)};
        spec.deadline = below(4) == 0 ? millis{spec.run_time.count * 4 + 60'000} : millis{0};
        spec.job_class = class_name(k);
        const auto cores = static_cast<double>(spec.task_size.milli_cores);
        const auto time = static_cast<double>(spec.run_time.count);
        const bool broken = below(50) == 0;
        made_.truth[spec.id] = {
            false,
            spec.job_class,
            static_cast<std::int64_t>(cores * class_size_factor_.at(k) * uniform(0.8, 1.2)),
            {static_cast<std::int64_t>(time * error_factor())},
            broken};
        if (below(25) == 0) {
            made_.cancelled.push_back(spec.id);
        }
        made_.submissions.push_back({at, spec});
        return static_cast<int>(spec.tasks);
    }

    void make_loads(millis length)
    {
        for (std::int64_t t = 0; t < length.count; t += 45'000) {
            made_.service_load[{t}] = uniform(0.6, 1.8);
        }
    }

    static std::string service_name(int s) { return absl::StrCat("svc-", s); }
    static std::string class_name(int k) { return absl::StrCat("class-", k); }
    static std::string team_name(int t) { return absl::StrCat("team-", t); }

    const deployment& deployment_;
    std::mt19937_64 random_;
    workload made_;
    std::array<double, class_count> class_size_factor_{};
    double owed_{0};
    int next_job_{1};
};

} // namespace

deployment gh_south()
{
    return {"gh-south", {"accra-east", "kumasi-mkt", "tema-port"}, 48};
}

deployment yeongnam()
{
    return {"yeongnam", {"gyeongju-a", "ulsan-b", "pohang-c", "miryang-d"}, 66};
}

double workload::load_at(instant t) const
{
    const auto after = service_load.upper_bound(t);
    return after == service_load.begin() ? 1.0 : std::prev(after)->second;
}

workload make_workload(const deployment& d, std::uint64_t seed, millis length)
{
    return generator{d, seed}.make(length);
}

} // namespace cuminmoor::bench
