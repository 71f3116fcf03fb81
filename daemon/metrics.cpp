/// \file
/// Formats metrics in Prometheus's text format.
#include "metrics.h"

#include <fstream>
#include <sstream>
#include <utility>

#include <sys/resource.h>
#include <unistd.h>

namespace cuminmoor::io {

namespace {

constexpr std::array quantile_labels{"0.5", "0.99", "0.999"};

/// Replaces characters of a counter name that the text format does not allow.
std::string metric_name(const std::string& counter)
{
    std::string name = "cuminmoor_" + counter;
    for (char& c : name) {
        const bool allowed =
            (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_';
        c = allowed ? c : '_';
    }
    return name;
}

void write(std::ostream& out, const std::string& name, std::uint64_t value)
{
    out << "cuminmoor_" << name << ' ' << value << '\n';
}

void write_latency(std::ostream& out, const std::string& name, latency_summary& summary)
{
    const latency_quantiles q = summary.read();
    for (std::size_t i = 0; i < quantile_labels.size(); ++i) {
        out << "cuminmoor_" << name << "_us{quantile=\"" << quantile_labels.at(i) << "\"} "
            << q.us.at(i) << '\n';
    }
    out << "cuminmoor_" << name << "_us_count " << q.count << '\n';
}

double seconds(const timeval& t)
{
    constexpr double us_per_second{1e6};
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / us_per_second;
}

void write_process(std::ostream& out)
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    out << "process_cpu_seconds_total " << seconds(usage.ru_utime) + seconds(usage.ru_stime)
        << '\n';
    std::ifstream statm{"/proc/self/statm"};
    std::uint64_t total_pages{0};
    std::uint64_t resident_pages{0};
    statm >> total_pages >> resident_pages;
    out << "process_resident_memory_bytes "
        << resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) << '\n';
}

void write_snapshot(std::ostream& out, const control_snapshot& s)
{
    for (const auto& [name, count] : s.counters) {
        out << metric_name(name) << ' ' << count << '\n';
    }
    write(out, "queued_events", s.queued_events);
    write(out, "open_requests", s.open_requests);
    write(out, "open_commands", s.open_commands);
    write(out, "configuration_version", s.configuration_version);
    write(out, "lease_epoch", s.lease_epoch);
    write(out, "holds_lease", s.holds_lease ? 1 : 0);
}

} // namespace

void metrics::publish(control_snapshot snapshot)
{
    auto next = std::make_shared<const control_snapshot>(std::move(snapshot));
    const std::lock_guard lock{mutex_};
    snapshot_ = std::move(next);
}

std::shared_ptr<const control_snapshot> metrics::snapshot() const
{
    const std::lock_guard lock{mutex_};
    return snapshot_;
}

std::string format_metrics(metrics& m, const peer_transport_counts& peers, std::size_t open_calls)
{
    std::ostringstream out;
    write_snapshot(out, *m.snapshot());
    write(out, "open_calls", open_calls);
    write(out, "request_refused_open_requests", m.requests_shed.load());
    write(out, "peer_datagrams_sent", peers.sent);
    write(out, "peer_datagrams_received", peers.received);
    write(out, "peer_datagrams_malformed", peers.malformed);
    write(out, "peer_datagrams_not_sent", peers.not_sent);
    write_latency(out, "request_added", m.request_overhead);
    write_latency(out, "backend", m.backend);
    write_latency(out, "control_step", m.control_step);
    write_process(out);
    return out.str();
}

} // namespace cuminmoor::io
