/// \file
/// Measures the policies: tail latency of services, batch throughput, evictions, and the work done
/// while a failure domain leaves and returns.
/// Usage: policy_bench [tuning|held-out] [runs] [first_fit|all|both] [deployment]
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "cluster.h"
#include "cuminmoor/inbox.h"

namespace cuminmoor::bench {

namespace {

constexpr millis run_length{480'000};
constexpr instant out_at{240'000};
constexpr instant in_at{330'000};
constexpr std::uint64_t first_tuning_seed = 1;
constexpr std::uint64_t first_held_out_seed = 1'001;

struct measures {
    double p99_us{0};
    /// Processor seconds of finished batch tasks, by second.
    double throughput{0};
    double finished{0};
    double evictions_per_finished{0};
    /// Work while the failure domain is out, of what the remaining capacity did in the run in which
    /// it stayed.
    double work_while_out{0};
    /// (most - least) / mean of the progress of the teams.
    double team_spread{0};
    /// Jobs with a deadline that ended in time, of those whose deadline passed.
    double deadlines_met{0};
    double overcommitted{0};
};

double p99_of(const work_totals& w)
{
    double all = 0;
    for (const auto& [step, seconds] : w.p99_seconds) {
        all += seconds;
    }
    double seen = 0;
    for (const auto& [step, seconds] : w.p99_seconds) {
        seen += seconds;
        if (seen >= 0.99 * all) {
            return step * base_p99_us / 10;
        }
    }
    return 0;
}

double progress_between(const work_totals& w, instant from, instant to)
{
    double sum = 0;
    for (const auto& [second, work] : w.batch_progress) {
        sum += second >= from.ms / 1'000 && second < to.ms / 1'000 ? work : 0;
    }
    return sum;
}

/// Counts of all jobs, from their summaries in the table.
void count_jobs(const cluster& c, const workload& load, measures& m)
{
    double evictions = 0;
    std::map<std::string, double> by_team;
    for (const auto& submission : load.submissions) {
        const auto& spec = submission.spec;
        if (spec.kind == work_class::latency_critical) {
            continue;
        }
        for (const auto& s : c.domains()) {
            const auto text = c.table.value_of(job_summary_key(spec.id, s->self.failure_domain));
            if (!text) {
                continue;
            }
            const auto summary = decode_job_summary(*text);
            const auto done = static_cast<double>(summary->totals.in(task_phase::finished));
            const auto& truth = load.truth.at(spec.id);
            m.finished += done;
            evictions += summary->evictions;
            const double work = done * static_cast<double>(truth.milli_cores) / 1'000 *
                                static_cast<double>(truth.run_time.count) / 1'000;
            m.throughput += work * 1'000 / static_cast<double>(run_length.count);
            by_team[spec.team.value] += work;
        }
    }
    m.evictions_per_finished = m.finished > 0 ? evictions / m.finished : 0;
    double most = 0;
    double least = INFINITY;
    double sum = 0;
    for (const auto& [team, work] : by_team) {
        most = std::max(most, work);
        least = std::min(least, work);
        sum += work;
    }
    m.team_spread = sum > 0 ? (most - least) / (sum / static_cast<double>(by_team.size())) : 0;
}

cluster_script make_script(bool takes_domain_out)
{
    cluster_script script;
    script.length = run_length;
    script.takes_domain_out = takes_domain_out;
    script.out_at = out_at;
    script.in_at = in_at;
    script.store_down_at = {120'000};
    script.store_up_at = {140'000};
    return script;
}

measures run_once(const deployment& d, std::uint64_t seed, const policy_set& policies)
{
    const workload load = make_workload(d, seed, run_length);
    cluster with_exit{d, load, make_script(true), policies};
    with_exit.run();
    cluster whole{d, load, make_script(false), policies};
    whole.run();
    measures m;
    count_jobs(with_exit, load, m);
    m.p99_us = p99_of(with_exit.work);
    const auto domains = static_cast<double>(d.failure_domains.size());
    m.work_while_out = progress_between(with_exit.work, out_at, in_at) /
                       (progress_between(whole.work, out_at, in_at) * (domains - 1) / domains);
    m.overcommitted = static_cast<double>(with_exit.work.overcommitted);
    return m;
}

struct spread {
    double mean{0};
    double least{0};
    double most{0};
};

spread spread_of(const std::vector<measures>& all, double measures::*field)
{
    spread s{0, all.front().*field, all.front().*field};
    for (const auto& m : all) {
        s.mean += m.*field / static_cast<double>(all.size());
        s.least = std::min(s.least, m.*field);
        s.most = std::max(s.most, m.*field);
    }
    return s;
}

struct named_measure {
    const char* name;
    double measures::*field;
};

constexpr std::array measure_names{
    named_measure{"p99_us", &measures::p99_us},
    named_measure{"throughput_cores", &measures::throughput},
    named_measure{"finished_tasks", &measures::finished},
    named_measure{"evictions_per_finished", &measures::evictions_per_finished},
    named_measure{"work_while_out", &measures::work_while_out},
    named_measure{"team_spread", &measures::team_spread},
    named_measure{"overcommitted", &measures::overcommitted},
};

void print_rows(const std::string& deployment_name, const std::string& variant,
                const std::vector<measures>& all)
{
    for (const auto& [name, field] : measure_names) {
        const spread s = spread_of(all, field);
        std::printf("%s,%s,%s,%.3f,%.3f,%.3f\n", deployment_name.c_str(), variant.c_str(), name,
                    s.mean, s.least, s.most);
    }
    std::fflush(stdout);
}

struct options {
    std::uint64_t first_seed{first_tuning_seed};
    int runs{10};
    std::string variant{"both"};
    /// Empty: all.
    std::string deployment_name;
};

options parse_options(const std::vector<std::string>& words)
{
    options o;
    if (!words.empty() && words[0] == "held-out") {
        o.first_seed = first_held_out_seed;
    }
    if (words.size() > 1) {
        o.runs = std::atoi(words[1].c_str());
    }
    if (words.size() > 2) {
        o.variant = words[2];
    }
    if (words.size() > 3) {
        o.deployment_name = words[3];
    }
    return o;
}

void run_variant(const std::string& name, const policy_set& policies, const options& o)
{
    if (o.variant != "both" && o.variant != name) {
        return;
    }
    for (const auto& d : {gh_south(), yeongnam()}) {
        if (!o.deployment_name.empty() && o.deployment_name != d.name) {
            continue;
        }
        std::vector<measures> all;
        all.reserve(static_cast<std::size_t>(o.runs));
        for (int i = 0; i < o.runs; ++i) {
            all.push_back(run_once(d, o.first_seed + static_cast<std::uint64_t>(i), policies));
        }
        print_rows(d.name, name, all);
    }
}

} // namespace

} // namespace cuminmoor::bench

int main(int argc, char** argv)
{
    using namespace cuminmoor::bench;
    const options o = parse_options({argv + 1, argv + argc});
    std::printf("deployment,variant,measure,mean,least,most\n");
    run_variant("first_fit", cuminmoor::make_first_fit_policies(), o);
    run_variant("all", cuminmoor::make_policies(), o);
    return 0;
}
