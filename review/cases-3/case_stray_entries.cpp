/// \file
/// Agents of another kind register in the table of the runners, under keys with a space, with a
/// service that nobody has named. Then the entry VMs are stopped and started in turn.
#include "cases.h"

#include <atomic>
#include <csignal>
#include <memory>
#include <thread>
#include <vector>

namespace review {

namespace {

constexpr int http_ok{200};
constexpr int runner_count{8};
constexpr int agent_count{8};

json job_of()
{
    return {{"task_spec", "ms=100"},
            {"steps",
             json::array({{{"count", 4}, {"cpu", 500}, {"mem_mb", 64}, {"estimated_ms", 100}}})}};
}

json agent_entry(const std::string& address)
{
    return {{"service", "floor-sensors"},
            {"address", address},
            {"zone", "accra-east"},
            {"version", "v1"},
            {"slots", 1},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"capacity", {{"cpu", 1'000}, {"mem_mb", 512}, {"gpu", 0}}},
            {"labels", json::array()},
            {"seq", 1}};
}

/// Writes the entries of the agents as often as runners write theirs.
class other_writer {
public:
    explicit other_writer(store& platform) : platform_{platform}, thread_{[this] { run(); }} {}
    ~other_writer()
    {
        is_stopping_ = true;
        thread_.join();
    }
    other_writer(const other_writer&) = delete;
    other_writer& operator=(const other_writer&) = delete;
    other_writer(other_writer&&) = delete;
    other_writer& operator=(other_writer&&) = delete;

private:
    void run()
    {
        constexpr int pauses{15};
        constexpr std::int64_t pause{100};
        const std::string nobody = std::string{loopback} + ":" + std::to_string(free_port());
        while (!is_stopping_) {
            for (int i{1}; i <= agent_count; ++i) {
                platform_.put("servers", "sensor " + std::to_string(i), agent_entry(nobody));
            }
            for (int i{0}; i < pauses && !is_stopping_; ++i) {
                pause_ms(pause);
            }
        }
    }

    store& platform_;
    std::atomic<bool> is_stopping_{false};
    std::thread thread_;
};

void restart_in_turn(deployment& d)
{
    constexpr std::int64_t gap_ms{6'500};
    for (const auto& each : d.vms()) {
        each->signal(SIGTERM);
        pause_ms(gap_ms);
    }
}

} // namespace

verdict play_stray_entries(const case_run& run)
{
    std::vector<runner_options> runners;
    for (int i{1}; i <= runner_count; ++i) {
        runners.push_back({.id = "i-" + std::to_string(i)});
    }
    deployment d{run.record, run.log_folder, runners};
    if (!d.start(3)) {
        return verdict::not_run;
    }
    std::unique_ptr<other_writer> other;
    if (run.trouble) {
        run.record.add("another writer registers agents: sensor 1 to sensor 8");
        other = std::make_unique<other_writer>(d.platform());
    }
    constexpr std::int64_t settle_ms{3'000};
    pause_ms(settle_ms);
    if (d.call("POST", quotes, job_id(1), job_of().dump()).status != http_ok) {
        return verdict::not_run;
    }
    pause_ms(settle_ms);
    restart_in_turn(d);
    // `finish_s` after the end of the traffic.
    constexpr std::int64_t finish_ms{14'000};
    pause_ms(finish_ms);
    constexpr int attempts{6};
    const http_response answer = d.call("GET", quotes, job_id(1), "", attempts);
    run.record.add("the accepted job is asked for: " + std::to_string(answer.status) + " " +
                   answer.body);
    return answer.status == http_ok ? verdict::held : verdict::broken;
}

} // namespace review
