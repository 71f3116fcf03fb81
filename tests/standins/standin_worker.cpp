/// \file
/// Stand-in for workers: many of them in one process, a port each.
#include <algorithm>
#include <chrono>
#include <iostream>
#include <vector>

#include <unistd.h>

#include "faults.h"
#include "json_fields.h"
#include "machine_settings.h"
#include "standin_http.h"
#include "worker_machine.h"

namespace standin {

namespace {

namespace po = boost::program_options;

std::int64_t clock_ms()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

class worker_group {
public:
    worker_group(http_host& host, const machine_settings& machines, const po::variables_map& values)
        : host_{host}
    {
        const auto rack_size = std::max(values["rack-size"].as<unsigned>(), 1U);
        for (std::uint16_t i = 0; i < machines.count; ++i) {
            worker_profile profile;
            profile.name = machine_name(machines, i);
            profile.incarnation = std::to_string(getpid()) + "." + std::to_string(clock_ms());
            profile.rack = machines.failure_domain + "-r" + std::to_string(i / rack_size);
            profile.milli_cores = values["milli-cores"].as<std::int64_t>();
            profile.memory_mib = values["memory-mib"].as<std::int64_t>();
            profile.accelerators = values["accelerators"].as<std::int64_t>();
            workers_.emplace_back(profile);
        }
    }

    connection_fate handle(std::size_t index, const http_call& call, const reply_sender& send)
    {
        if (call.path == "/v1/sync") {
            return sync(index, parse_json(call.body), send);
        }
        if (call.path == "/control/history") {
            send({200, history().dump(), {}, false});
        }
        else if (call.path == "/control/fault") {
            set_fault(parse_fault(parse_json(call.body)));
            send({200, "{}", {}, false});
        }
        else {
            send({404, R"({"error":"no such path"})", {}, false});
        }
        return connection_fate::answered;
    }

    /// Every start on every worker, for tests.
    json history()
    {
        auto starts = json::array();
        std::int64_t expired = 0;
        for (auto& each : workers_) {
            const auto one = each.history(clock_ms());
            starts.insert(starts.end(), one["starts"].begin(), one["starts"].end());
            expired += number_at(one, "expired_starts");
        }
        return {{"starts", starts}, {"expired_starts", expired}, {"clock_ms", clock_ms()}};
    }

private:
    connection_fate sync(std::size_t index, const json& request, const reply_sender& send)
    {
        const auto fault = faults_.draw();
        if (fault == "unreachable") {
            return connection_fate::dropped;
        }
        const auto report = workers_[index].sync(request, clock_ms());
        if (fault == "lose_answers") {
            return connection_fate::dropped;
        }
        const auto delay = fault == "slow" ? faults_.delay() : std::chrono::milliseconds{0};
        host_.after(delay, [send, report] { send({200, report.dump(), {}, false}); });
        return connection_fate::answered;
    }

    void set_fault(const fault_setting& setting)
    {
        faults_.set(setting);
        for (auto& each : workers_) {
            each.set_failing(setting.kind == "fail_tasks");
        }
    }

    http_host& host_;
    std::vector<worker_machine> workers_;
    fault_switch faults_;
};

po::options_description worker_flags()
{
    po::options_description flags{"standin_worker"};
    add_machine_options(flags);
    auto add = flags.add_options();
    add("rack-size", po::value<unsigned>()->default_value(8), "workers to a rack");
    add("milli-cores", po::value<std::int64_t>()->default_value(64'000), "processors of each");
    add("memory-mib", po::value<std::int64_t>()->default_value(250'000), "memory of each");
    add("accelerators", po::value<std::int64_t>()->default_value(0), "accelerators of each");
    return flags;
}

int serve_workers(const machine_settings& machines, const po::variables_map& values)
{
    http_host host;
    worker_group group{host, machines, values};
    for (std::uint16_t i = 0; i < machines.count; ++i) {
        host.listen(offset_by(machines.first, i),
                    [&group, i](const http_call& call, const reply_sender& send) {
                        return group.handle(i, call, send);
                    });
    }
    const int result = run_listed(host, machines, "worker", "");
    const auto history = group.history();
    const auto finished =
        std::count_if(history["starts"].begin(), history["starts"].end(),
                      [](const json& start) { return text_at(start, "status") == "finished"; });
    std::cout << "event=ended starts=" << history["starts"].size() << " finished=" << finished
              << std::endl;
    return result;
}

} // namespace

} // namespace standin

int main(int argc, char** argv)
{
    const auto flags = standin::worker_flags();
    const auto values = standin::parse_flags(argc, argv, flags);
    const auto machines = values.ok() ? standin::parse_machine_settings(*values) : values.status();
    if (!machines.ok()) {
        std::cerr << machines.status().message() << "\n" << flags;
        return 2;
    }
    return standin::serve_workers(*machines, *values);
}
