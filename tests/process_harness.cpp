/// \file
/// Start of the cluster's processes.
#include "process_harness.h"

#include <algorithm>
#include <filesystem>
#include <thread>
#include <utility>

#include <unistd.h>

namespace process_test {

namespace {

constexpr milliseconds look_period{20};
/// Ports between the first machine of a group and the next group.
constexpr std::uint16_t port_block = 100;

std::string runner_prefix(const std::string& failure_domain)
{
    return "runner-" + failure_domain + "-";
}

std::string flag(const std::string& name, const std::string& value)
{
    return "--" + name + "=" + value;
}

} // namespace

std::string own_host()
{
    constexpr int byte_values = 254;
    const auto pid = static_cast<int>(getpid());
    return "127." + std::to_string(1 + pid / byte_values % byte_values) + "." +
           std::to_string(1 + pid % byte_values) + ".1";
}

child_process start_central_vm(const std::string& test, const central_addresses& at)
{
    const std::string folder = std::string{PROCESS_LOG_FOLDER} + "/" + test;
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    return {CUMINMOORD_PROGRAM,
            {flag("scheduling", "central"), flag("vm", "vm1"), flag("failure-domain", "a"),
             flag("http-address", at.callers), flag("readiness-address", at.readiness),
             flag("peer-address", at.peers), flag("platform", at.platform)},
            folder + "/vm1.log"};
}

bool wait_until(const std::function<bool()>& holds, milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(look_period);
    }
    return true;
}

cluster::cluster(cluster_options options)
    : options_{std::move(options)}, host_{own_host()}, log_folder_{std::string{PROCESS_LOG_FOLDER} +
                                                                   "/" + options_.name}
{
    std::filesystem::remove_all(log_folder_);
    std::filesystem::create_directories(log_folder_);
    start_platform();
    for (const auto& domain : options_.failure_domains) {
        start_workers(domain);
        start_runners(domain);
        for (unsigned i = 0; i < options_.entries_per_domain; ++i) {
            add_entry(domain);
        }
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        (void)wait_until([&] { return is_ready(i); });
    }
}

std::string cluster::log_file(const std::string& name) const
{
    return log_folder_ + "/" + name + ".log";
}

std::string cluster::next_address()
{
    next_port_ = static_cast<std::uint16_t>(next_port_ + port_block);
    return host_ + ":" + std::to_string(next_port_);
}

void cluster::start_platform()
{
    platform_http_ = next_address();
    platform_ =
        child_process{STANDIN_PLATFORM_PROGRAM, {"--http", platform_http_}, log_file("platform")};
    (void)wait_until([&] { return status_of(get(platform_http_, "/v1/vms")) == 200; });
}

void cluster::start_workers(const std::string& failure_domain)
{
    const auto at = next_address();
    const auto name = "worker-" + failure_domain + "-";
    workers_.push_back(
        {failure_domain, at,
         child_process{STANDIN_WORKER_PROGRAM,
                       {flag("http", at), flag("prefix", name),
                        flag("count", std::to_string(options_.workers_per_domain)),
                        flag("failure-domain", failure_domain), flag("platform", platform_http_)},
                       log_file("workers-" + failure_domain)}});
    (void)wait_until([&] { return status_of(get(at, "/control/history")) == 200; });
}

void cluster::start_runners(const std::string& failure_domain)
{
    const auto at = next_address();
    const auto name = runner_prefix(failure_domain);
    runners_.push_back(
        {failure_domain, at,
         child_process{STANDIN_RUNNER_PROGRAM,
                       {flag("http", at), flag("prefix", name),
                        flag("count", std::to_string(options_.runners_per_domain)),
                        flag("failure-domain", failure_domain), flag("platform", platform_http_),
                        flag("service", options_.service),
                        flag("service-ms", std::to_string(options_.service_time.count()))},
                       log_file("runners-" + failure_domain)}});
    (void)wait_until([&] { return status_of(get(at, "/control/history")) == 200; });
}

std::size_t cluster::add_entry(const std::string& failure_domain)
{
    const auto index = entries_.size();
    entry_vm vm;
    vm.name = "entry-" + std::to_string(index + 1);
    vm.failure_domain = failure_domain;
    vm.http = next_address();
    vm.peer = next_address();
    vm.process = child_process{CUMINMOORD_PROGRAM,
                               {flag("vm", vm.name), flag("failure-domain", failure_domain),
                                flag("http-address", vm.http), flag("peer-address", vm.peer),
                                flag("platform", platform_http_)},
                               log_file(vm.name)};
    list_entry(vm, "live");
    entries_.push_back(std::move(vm));
    return index;
}

void cluster::list_entry(const entry_vm& vm, const std::string& phase) const
{
    const json line{{"id", vm.name},   {"role", "entry"},
                    {"phase", phase},  {"failure_domain", vm.failure_domain},
                    {"http", vm.http}, {"peer", vm.peer},
                    {"service", ""}};
    (void)post(platform_http_, "/control/vms", {{"put", json::array({line})}});
}

void cluster::set_entry_phase(std::size_t index, const std::string& phase)
{
    list_entry(entries_[index], phase);
}

void cluster::unlist(const std::string& vm)
{
    (void)post(platform_http_, "/control/vms", {{"remove", json::array({vm})}});
}

bool cluster::is_ready(std::size_t index) const
{
    return status_of(get(entries_[index].http, "/readyz")) == 200;
}

std::vector<std::size_t> cluster::entries_of(const std::string& failure_domain) const
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i].failure_domain == failure_domain) {
            found.push_back(i);
        }
    }
    return found;
}

void cluster::set_platform_fault(const std::string& kind, milliseconds delay, int permille) const
{
    (void)post(platform_http_, "/control/fault",
               {{"kind", kind}, {"ms", delay.count()}, {"permille", permille}});
}

const cluster::machine_group* cluster::runners_of(const std::string& failure_domain) const
{
    const auto found =
        std::find_if(runners_.begin(), runners_.end(), [&](const machine_group& group) {
            return group.failure_domain == failure_domain;
        });
    return found == runners_.end() ? nullptr : &*found;
}

void cluster::set_runner_fault(const std::string& failure_domain, const std::string& kind,
                               milliseconds delay, int permille) const
{
    if (const auto* const group = runners_of(failure_domain)) {
        (void)post(group->http, "/control/fault",
                   {{"kind", kind}, {"ms", delay.count()}, {"permille", permille}});
    }
}

void cluster::set_runner_phase(const std::string& failure_domain, unsigned index,
                               const std::string& phase) const
{
    const auto name = runner_prefix(failure_domain) + std::to_string(index + 1);
    const auto listed = standin::parse_json(body_of(get(platform_http_, "/control/vms")));
    for (auto vm : standin::array_at(listed, "vms")) {
        if (standin::text_at(vm, "id") == name) {
            vm["phase"] = phase;
            (void)post(platform_http_, "/control/vms", {{"put", json::array({vm})}});
        }
    }
}

std::int64_t cluster::runs_on(const std::string& failure_domain, unsigned index) const
{
    const auto* const group = runners_of(failure_domain);
    if (group == nullptr) {
        return 0;
    }
    const auto history = standin::parse_json(body_of(get(group->http, "/control/history")));
    const auto by_runner = standin::array_at(history, "by_runner");
    return index < by_runner.size() && by_runner[index].is_number_integer()
               ? by_runner[index].get<std::int64_t>()
               : 0;
}

json cluster::platform_counts() const
{
    return standin::parse_json(body_of(get(platform_http_, "/control/counts")));
}

json cluster::table_rows(const std::string& prefix) const
{
    constexpr int all_rows = 100'000;
    const json range{{"prefix", prefix}, {"from", ""}, {"limit", all_rows}};
    const auto read = post(platform_http_, "/control/read", {{"ranges", json::array({range})}});
    return standin::array_at(standin::parse_json(body_of(read)), "rows");
}

std::map<std::string, std::int64_t> cluster::runs() const
{
    std::map<std::string, std::int64_t> counted;
    for (const auto& group : runners_) {
        const auto history = standin::parse_json(body_of(get(group.http, "/control/history")));
        for (const auto& run : standin::array_at(history, "runs")) {
            counted[standin::text_at(run, "caller") + "/" + standin::text_at(run, "request")] +=
                standin::number_at(run, "runs");
        }
    }
    return counted;
}

std::vector<start_record> cluster::starts() const
{
    std::vector<start_record> all;
    for (const auto& group : workers_) {
        const auto history = standin::parse_json(body_of(get(group.http, "/control/history")));
        for (const auto& start : standin::array_at(history, "starts")) {
            all.push_back({standin::text_at(start, "worker"), group.failure_domain,
                           standin::text_at(start, "task"), standin::number_at(start, "attempt"),
                           standin::text_at(start, "status"), standin::number_at(start, "start_ms"),
                           standin::number_at(start, "end_ms"),
                           standin::number_at(start, "resumed_at_ms"),
                           standin::number_at(start, "progress_ms")});
        }
    }
    return all;
}

} // namespace process_test
