/// \file
/// Slopes for docs/CAPACITY.md: bytes of state and messages, processor time of the reducer, each at
/// three or more sizes. Rows that end in "time" vary between runs; all others are the same for the
/// same program.
#include <time.h>

#include <cstdio>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "allocation_count.h"
#include "cluster.h"
#include "cuminmoor/inbox.h"
#include "nlohmann/json.hpp"
#include "peer_codec.h"
#include "platform_json.h"
#include "worker_json.h"

namespace cuminmoor::bench {

namespace {

constexpr millis settle_time{30'000};
constexpr millis measured_time{60'000};
constexpr std::uint32_t tasks_per_job = 10;

/// Jobs of ten one-core tasks.
workload make_jobs(int jobs, millis run_time, millis spacing)
{
    workload made;
    for (int i = 0; i < jobs; ++i) {
        job_spec spec;
        spec.id = {absl::StrCat("job-", 100'000 + i)};
        spec.team = {absl::StrCat("team-", i % 50)};
        spec.owner = {"owner"};
        spec.tasks = tasks_per_job;
        spec.task_size = {1'000, 1'024, 0};
        spec.run_time = run_time;
        spec.job_class = "class-0";
        spec.command = "render pattern --quality high";
        made.truth[spec.id] = {false, "class-0", 500, run_time, false};
        made.submissions.push_back({{spacing.count * i}, spec});
    }
    return made;
}

cluster_script quiet_script()
{
    cluster_script script;
    script.length = settle_time + measured_time;
    script.broken_workers = 0;
    script.store_down_at = never;
    return script;
}

/// Counts the bytes that the daemon would send and the answers that it would get.
class byte_counter final : public effect_observer {
public:
    std::uint64_t commit_bytes{0};
    std::uint64_t read_bytes{0};
    std::uint64_t sync_bytes{0};
    /// Attempts whose start was ordered.
    std::set<std::pair<task_id, std::uint32_t>> starts;

    void observe(const effect_body& body) override
    {
        if (const auto* const commit = std::get_if<store_commit>(&body)) {
            commit_bytes += io::encode_commit(commit->body).size();
        }
        else if (const auto* const read = std::get_if<store_read>(&body)) {
            read_bytes += io::encode_read(*read).size();
        }
        else if (const auto* const sync = std::get_if<worker_sync>(&body)) {
            sync_bytes += io::encode_sync(*sync).size();
            for (const auto& order : sync->orders) {
                if (const auto* const start = std::get_if<start_order>(&order)) {
                    starts.emplace(start->task, start->attempt);
                }
            }
        }
    }
};

struct measured_run {
    int workers{0};
    int jobs{0};
    millis run_time;
    millis spacing;
    /// All but the holder of the lease observe.
    std::size_t entry_vms{1};
};

struct run_result {
    std::int64_t state_bytes{0};
    /// Of the ledger's checkpoint in the object store.
    std::size_t ledger_bytes{0};
    std::size_t assigned{0};
    std::size_t waiting{0};
    /// During the measured time, by second.
    double cpu_ms{0};
    double commits{0};
    double rows{0};
    double reads{0};
    double syncs{0};
    double commit_bytes{0};
    double sync_bytes{0};
    double starts{0};
};

double per_second(std::uint64_t n)
{
    return static_cast<double>(n) * 1'000 / static_cast<double>(measured_time.count);
}

run_result run_cluster(const measured_run& r)
{
    const deployment d{"one", std::vector<std::string>(r.entry_vms, "tema-port"), r.workers};
    const workload load = make_jobs(r.jobs, r.run_time, r.spacing);
    const auto policies = make_first_fit_policies();
    cluster c{d, load, quiet_script(), policies};
    c.run_until({settle_time.count});
    byte_counter bytes;
    c.observer = &bytes;
    c.traffic = {};
    const auto& s = *c.domains().front();
    c.run();
    run_result out;
    out.state_bytes = heap_size_of(s);
    out.ledger_bytes = encode_ledger(s.scheduler.job_ledger).size();
    out.assigned = count_assigned(s.scheduler.job_ledger);
    out.waiting = s.scheduler.job_ledger.waiting.size();
    out.cpu_ms = per_second(static_cast<std::uint64_t>(c.traffic.reducer_ns)) / 1e6;
    out.commits = per_second(c.traffic.commits);
    out.rows = per_second(c.traffic.rows_written);
    out.reads = per_second(c.traffic.reads);
    out.syncs = per_second(c.traffic.syncs);
    out.commit_bytes = per_second(bytes.commit_bytes);
    out.sync_bytes = per_second(bytes.sync_bytes);
    out.starts = per_second(bytes.starts.size());
    return out;
}

void print_run(const char* group, const measured_run& r)
{
    const run_result x = run_cluster(r);
    std::printf("%s entry_vms=%zu workers=%d assigned=%zu waiting=%zu starts/s=%.1f "
                "state_bytes=%lld ledger_bytes=%zu "
                "commits/s=%.2f rows/s=%.2f reads/s=%.2f syncs/s=%.1f commit_bytes/s=%.0f "
                "sync_bytes/s=%.0f\n",
                group, r.entry_vms, r.workers, x.assigned, x.waiting, x.starts,
                static_cast<long long>(x.state_bytes), x.ledger_bytes, x.commits, x.rows, x.reads,
                x.syncs, x.commit_bytes, x.sync_bytes);
    std::printf("%s workers=%d jobs=%d reducer_cpu_ms/s=%.2f time\n", group, r.workers, r.jobs,
                x.cpu_ms);
    std::fflush(stdout);
}

constexpr millis long_run{86'400'000};

void measure_scheduler()
{
    for (const int workers : {46, 92, 183}) {
        print_run("empty_workers", {workers, 0, long_run, {0}});
    }
    for (const int workers : {46, 92, 183}) {
        print_run("ten_tasks_each", {workers, workers, long_run, {0}});
    }
    for (const int jobs : {92, 183, 366}) {
        print_run("tasks_on_92", {92, jobs, long_run, {0}});
    }
    for (const int backlog : {0, 600, 1'200, 2'400}) {
        // 92 workers hold 5,888 one-core tasks; all above that waits.
        print_run("backlog", {92, 589 + backlog / 10, long_run, {0}});
    }
    for (const std::size_t entry_vms : {1, 2, 4, 8}) {
        print_run("observers", {92, 0, long_run, {0}, entry_vms});
    }
    for (const std::int64_t spacing : {1'000, 500, 250, 125, 66}) {
        print_run("starts", {183, static_cast<int>(90'000 / spacing), {10'000}, {spacing}});
    }
}

std::string report_text(int tasks)
{
    nlohmann::json list = nlohmann::json::array();
    for (int i = 0; i < tasks; ++i) {
        list.push_back({{"task", absl::StrCat("job-", 100'000 + i, "/0")},
                        {"attempt", 1},
                        {"status", "running"},
                        {"checkpoint", ""},
                        {"usage", {{"milli_cores", 500}, {"memory_mib", 512}, {"accelerators", 0}}},
                        {"p99_us", 0}});
    }
    const nlohmann::json report{
        {"incarnation", "1"},
        {"clock_ms", 123'000},
        {"capacity", {{"milli_cores", 64'000}, {"memory_mib", 250'000}, {"accelerators", 2}}},
        {"rack", "r1"},
        {"tasks", list}};
    return report.dump();
}

/// \return processor time of one call, in microseconds.
template <typename Function>
double time_of(int repeats, Function f)
{
    timespec a{};
    timespec b{};
    (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &a);
    for (int i = 0; i < repeats; ++i) {
        f();
    }
    (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &b);
    return (static_cast<double>(b.tv_sec - a.tv_sec) * 1e6 +
            static_cast<double>(b.tv_nsec - a.tv_nsec) / 1e3) /
           repeats;
}

void measure_reports()
{
    for (const int tasks : {0, 5, 10, 20}) {
        const std::string text = report_text(tasks);
        const double us = time_of(2'000, [&text] { (void)io::decode_report(text); });
        std::printf("report tasks=%d bytes=%zu\n", tasks, text.size());
        std::printf("report tasks=%d decode_us=%.1f time\n", tasks, us);
    }
    worker_sync sync{{"worker-1000"}, "1", {600'000}, {}};
    for (const int starts : {0, 1, 5, 10}) {
        sync.orders.clear();
        for (int i = 0; i < starts; ++i) {
            sync.orders.emplace_back(start_order{{{absl::StrCat("job-", 100'000 + i)}, 0},
                                                 1,
                                                 {1'000, 1'024, 0},
                                                 "",
                                                 {123'456},
                                                 "render pattern --quality high"});
        }
        std::printf("sync starts=%d bytes=%zu\n", starts, io::encode_sync(sync).size());
    }
}

std::string vm_list_text(int vms)
{
    nlohmann::json list = nlohmann::json::array();
    for (int i = 0; i < vms; ++i) {
        list.push_back({{"id", absl::StrCat("worker-", 1'000 + i)},
                        {"role", "worker"},
                        {"phase", "live"},
                        {"failure_domain", "tema-port"},
                        {"http", "10.20.30.40:7001"},
                        {"peer", ""},
                        {"service", ""}});
    }
    return nlohmann::json{{"vms", list}}.dump();
}

void measure_membership()
{
    for (const int vms : {183, 550, 1'100, 2'200}) {
        const std::string text = vm_list_text(vms);
        const double us = time_of(20, [&text] { (void)io::decode_vm_list(text); });
        const auto list = io::decode_vm_list(text);
        membership_state m;
        for (const auto& vm : *list) {
            m.vms[vm.id] = vm;
        }
        std::printf("vm_list vms=%d bytes=%zu state_bytes=%lld\n", vms, text.size(),
                    static_cast<long long>(heap_size_of(m)));
        std::printf("vm_list vms=%d decode_us=%.0f time\n", vms, us);
    }
    peer_heartbeat beat;
    beat.from = {"entry-1"};
    beat.failure_domain = {"tema-port"};
    beat.lease_holder = {"entry-2"};
    std::printf("heartbeat bytes=%zu\n", io::encode_datagram(beat)->size());
}

void measure_configuration()
{
    for (const int teams : {0, 305, 610}) {
        configuration whole;
        for (int i = 0; i < teams; ++i) {
            const team_id id{absl::StrCat("team-", 100 + i)};
            whole.teams[id] = {id, 1, {640'000, 2'500'000, 8}};
        }
        std::printf("configuration teams=%d bytes=%zu state_bytes=%lld\n", teams,
                    configuration_to_json(whole).dump().size(),
                    static_cast<long long>(heap_size_of(whole)));
    }
    const put_team step{{{"team-100"}, 1, {640'000, 2'500'000, 8}}};
    std::printf("configuration step bytes=%zu\n", encode_change_row({step, {"entry-1/1"}}).size());
}

struct entry_vm {
    policy_set policies{make_first_fit_policies()};
    reducer r{policies};
    state s;
    instant now{1'000};

    explicit entry_vm(int runners)
    {
        s.self = {{"entry-1"}, {"tema-port"}, 1};
        for (int i = 0; i < runners; ++i) {
            const vm_id id{absl::StrCat("runner-", i)};
            s.membership.vms[id] = {.id = id,
                                    .role = vm_role::runner,
                                    .phase = vm_phase::live,
                                    .failure_domain = s.self.failure_domain,
                                    .http_address = "h",
                                    .peer_address = "",
                                    .service = {"drape-desk"}};
        }
    }

    void run_request(std::uint64_t number)
    {
        const request_arrived arrived{.handle = {number},
                                      .caller = {"boutique"},
                                      .service = {"drape-desk"},
                                      .id = {absl::StrCat("r", number)},
                                      .idempotent = true,
                                      .deadline = now + millis{5'000},
                                      .hops = 0,
                                      .body = nullptr};
        for (const auto& f : r.step(s, arrived, now)) {
            if (const auto* const sent = std::get_if<request_dispatch>(&f.body)) {
                (void)r.step(s,
                             dispatch_ended{arrived.handle, sent->dispatch,
                                            dispatch_outcome::answered, 200, nullptr},
                             now);
            }
        }
    }
};

void measure_requests()
{
    for (const int runners : {16, 48, 96, 192}) {
        entry_vm vm{runners};
        std::uint64_t number = 0;
        const double us = time_of(5'000, [&] { vm.run_request(++number); });
        std::printf("request runners=%d cpu_us=%.1f time\n", runners, us);
    }
}

} // namespace

} // namespace cuminmoor::bench

int main()
{
    using namespace cuminmoor::bench;
    measure_scheduler();
    measure_reports();
    measure_membership();
    measure_configuration();
    measure_requests();
    return 0;
}
