/// \file
/// Stand-in for runners: many of them in one process, a port each.
///
/// The answer's body is derived from the request, so a caller can tell whether it is its own.
#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "faults.h"
#include "json_fields.h"
#include "machine_settings.h"
#include "standin_http.h"

namespace standin {

namespace {

namespace po = boost::program_options;

/// One runner: its slots and what it ran.
struct runner_machine {
    std::int64_t busy{0};
    std::int64_t most_busy{0};
    /// Requests that came while every slot was taken; refused as not run.
    std::uint64_t over_slots{0};
    std::uint64_t run_count{0};
    /// Runs by (caller, request id).
    std::map<std::pair<std::string, std::string>, std::uint64_t> runs;
};

http_reply not_run_reply(const std::string& request_id)
{
    return {
        503, R"({"error":"not run"})", {{"X-Not-Run", "1"}, {"X-Request-Id", request_id}}, false};
}

/// \return "echo:CALLER/REQUEST:BODY".
std::string derived_body(const http_call& call)
{
    return "echo:" + call.header("x-caller") + "/" + call.header("x-request-id") + ":" + call.body;
}

class runner_group {
public:
    runner_group(http_host& host, std::size_t count, const po::variables_map& values)
        : host_{host}, runners_(count), slots_{values["slots"].as<std::int64_t>()},
          service_time_{values["service-ms"].as<std::int64_t>()}
    {
    }

    connection_fate handle(std::size_t index, const http_call& call, const reply_sender& send)
    {
        if (call.path.starts_with("/v1/run/")) {
            return run(runners_[index], call, send);
        }
        if (call.path == "/control/history") {
            send({200, history().dump(), {}, false});
        }
        else if (call.path == "/control/fault") {
            faults_.set(parse_fault(parse_json(call.body)));
            send({200, "{}", {}, false});
        }
        else {
            send({404, R"({"error":"no such path"})", {}, false});
        }
        return connection_fate::answered;
    }

    /// What the runners ran, for tests.
    [[nodiscard]] json history() const
    {
        auto runs = json::array();
        auto by_runner = json::array();
        std::int64_t most_busy = 0;
        std::uint64_t over_slots = 0;
        for (const auto& runner : runners_) {
            most_busy = std::max(most_busy, runner.most_busy);
            over_slots += runner.over_slots;
            by_runner.push_back(runner.run_count);
            for (const auto& [key, count] : runner.runs) {
                runs.push_back({{"caller", key.first}, {"request", key.second}, {"runs", count}});
            }
        }
        return {{"runs", runs},
                {"by_runner", by_runner},
                {"most_busy", most_busy},
                {"over_slots", over_slots}};
    }

private:
    connection_fate run(runner_machine& runner, const http_call& call, const reply_sender& send)
    {
        const auto fault = faults_.draw();
        const auto request_id = call.header("x-request-id");
        if (runner.busy >= slots_ || fault == "refuse") {
            runner.over_slots += runner.busy >= slots_ ? 1 : 0;
            send(not_run_reply(request_id));
            return connection_fate::answered;
        }
        ++runner.run_count;
        ++runner.runs[{call.header("x-caller"), request_id}];
        if (fault == "reset") {
            return connection_fate::dropped;
        }
        ++runner.busy;
        runner.most_busy = std::max(runner.most_busy, runner.busy);
        const auto extra = fault == "late" ? faults_.delay() : std::chrono::milliseconds{0};
        http_reply reply{
            200, derived_body(call), {{"X-Request-Id", request_id}}, fault == "truncated"};
        host_.after(service_time_ + extra, [&runner, send, reply = std::move(reply)] {
            --runner.busy;
            send(reply);
        });
        return connection_fate::answered;
    }

    http_host& host_;
    std::vector<runner_machine> runners_;
    std::int64_t slots_;
    std::chrono::milliseconds service_time_;
    fault_switch faults_;
};

po::options_description runner_flags()
{
    po::options_description flags{"standin_runner"};
    add_machine_options(flags);
    auto add = flags.add_options();
    add("service", po::value<std::string>()->default_value(""), "service that they serve");
    add("slots", po::value<std::int64_t>()->default_value(8), "requests at once on each");
    add("service-ms", po::value<std::int64_t>()->default_value(5), "time that a request takes");
    return flags;
}

int serve_runners(const machine_settings& machines, const po::variables_map& values)
{
    http_host host;
    runner_group group{host, machines.count, values};
    for (std::uint16_t i = 0; i < machines.count; ++i) {
        host.listen(offset_by(machines.first, i),
                    [&group, i](const http_call& call, const reply_sender& send) {
                        return group.handle(i, call, send);
                    });
    }
    const int result = run_listed(host, machines, "runner", values["service"].as<std::string>());
    const auto history = group.history();
    const auto repeated = std::count_if(history["runs"].begin(), history["runs"].end(),
                                        [](const json& run) { return number_at(run, "runs") > 1; });
    std::cout << "event=ended requests=" << history["runs"].size() << " repeated=" << repeated
              << " over_slots=" << number_at(history, "over_slots") << std::endl;
    return result;
}

} // namespace

} // namespace standin

int main(int argc, char** argv)
{
    const auto flags = standin::runner_flags();
    const auto values = standin::parse_flags(argc, argv, flags);
    const auto machines = values.ok() ? standin::parse_machine_settings(*values) : values.status();
    if (!machines.ok()) {
        std::cerr << machines.status().message() << "\n" << flags;
        return 2;
    }
    return standin::serve_runners(*machines, *values);
}
