/// \file
/// Implementation of the cases' harness.
#include "world.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>
#include <utility>

#include <asio/post.hpp>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using nlohmann::json;

std::string environment(const char* name, const std::string& otherwise)
{
    const char* const value = std::getenv(name);
    return value == nullptr ? otherwise : value;
}

std::string free_address()
{
    return "127.0.0.1:" + std::to_string(free_port());
}

constexpr int http_ok{200};

} // namespace

void sleep_ms(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{duration});
}

std::string job_id(unsigned number)
{
    constexpr std::size_t size{32};
    char text[size];
    std::snprintf(text, sizeof text, "5c0e7a21%08x", number);
    return text;
}

world::world(const std::string& record_file)
    : has_trouble_{environment("TROUBLE", "1") != "0"}, daemon_{environment(
                                                            "DAEMON", "target/daemon/cuminmoord")},
      folder_{environment("FOLDER", "/tmp")}, record_{record_file}, work_{asio::make_work_guard(
                                                                        loop_)},
      platform_{std::make_unique<store>(loop_, record_)}, thread_{[this] { loop_.run(); }}
{
    record_.add(has_trouble_ ? "case begins, with the disruption" : "case begins, TROUBLE=0");
}

world::~world()
{
    for (entry_vm& vm : vms_) {
        if (vm.pid > 0) {
            kill(vm.pid, SIGKILL);
            waitpid(vm.pid, nullptr, 0);
        }
    }
    loop_.stop();
    thread_.join();
}

void world::on_loop(const std::function<void()>& action)
{
    std::promise<void> done;
    asio::post(loop_, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

runner& world::add_runner(const runner_options& options)
{
    on_loop([&] {
        runners_.push_back(std::make_unique<runner>(loop_, *platform_, record_, events_, options));
    });
    return *runners_.back();
}

std::vector<run_event> world::events()
{
    std::vector<run_event> copy;
    on_loop([&] { copy = events_; });
    return copy;
}

void world::set_queues(const std::vector<queue_options>& queues)
{
    json routes = json::array();
    std::set<std::string> names;
    for (const queue_options& q : queues) {
        routes.push_back({{"name", q.name},
                          {"hostname", q.host},
                          {"path_prefix", q.path_prefix},
                          {"kind", "non_idempotent"},
                          {"timeout_ms", 3'000},
                          {"target_latency_ms", 250},
                          {"priority", q.priority},
                          {"service", q.service},
                          {"max_attempts", q.max_attempts},
                          {"stretch", 1.5}});
        names.insert(q.service);
    }
    json services = json::array();
    for (const std::string& name : names) {
        services.push_back({{"name", name}, {"admission_check", false}, {"standby", false}});
    }
    const json manifest = {{"version", ++manifest_version_},
                           {"routes", routes},
                           {"services", services},
                           {"limits", json::object()}};
    on_loop([&] { platform_->put("op", "config", manifest.dump()); });
}

void world::add_vm(const std::string& name, const std::string& failure_domain)
{
    vms_.push_back({name, failure_domain, free_address(), free_address(), free_address()});
    on_loop([&] { vms_.back().store = &platform_->add_entrance(); });
    start_process(vms_.back());
}

void world::start_process(entry_vm& vm)
{
    // As in `[roles.entry]` of the deploy file.
    std::vector<std::string> variables{"PATH=" + environment("PATH", ""),
                                       "HOME=" + environment("HOME", ""),
                                       "CUMINMOOR_SCHEDULING=central",
                                       "CUMINMOOR_VM=" + vm.name,
                                       "CUMINMOOR_FAILURE_DOMAIN=" + vm.failure_domain,
                                       "CUMINMOOR_HTTP_ADDRESS=" + vm.callers,
                                       "CUMINMOOR_READINESS_ADDRESS=" + vm.readiness,
                                       "CUMINMOOR_PEER_ADDRESS=" + vm.peers,
                                       "CUMINMOOR_PLATFORM=" + vm.store->address(),
                                       "CUMINMOOR_MAX_HOLD_MS=10000",
                                       "CUMINMOOR_KEEP_ENDED_S=120",
                                       "CUMINMOOR_CORE_SHARE=0.1",
                                       "CUMINMOOR_LINK_MBIT=1000.0"};
    std::vector<char*> raw;
    raw.reserve(variables.size() + 1);
    for (std::string& each : variables) {
        raw.push_back(each.data());
    }
    raw.push_back(nullptr);
    std::string program = daemon_;
    char* words[]{program.data(), nullptr};
    const std::string file = folder_ + "/" + vm.name + ".log";
    constexpr mode_t mode{0644};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Sockets of the stand-ins must end with the stand-ins.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    if (posix_spawn(&vm.pid, program.c_str(), &actions, nullptr, words, raw.data()) != 0) {
        vm.pid = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
    record_.add("entry VM " + vm.name + ": process " + (vm.pid > 0 ? "started" : "not started"));
}

void world::signal_vm(std::size_t index, int number)
{
    entry_vm& vm = vms_.at(index);
    record_.add("entry VM " + vm.name + ": signal " + std::to_string(number));
    kill(vm.pid, number);
    if (number == SIGKILL) {
        waitpid(vm.pid, nullptr, 0);
        vm.pid = 0;
    }
}

void world::restart_vm(std::size_t index)
{
    start_process(vms_.at(index));
}

bool world::wait_until_ready(std::int64_t limit_ms)
{
    const std::int64_t deadline = now_ms() + limit_ms;
    const auto is_ready = [](const entry_vm& vm) {
        constexpr std::int64_t timeout{500};
        return send_call({"GET", vm.readiness, "/-/ready", "ready", "", timeout}).status == http_ok;
    };
    while (now_ms() < deadline) {
        if (std::all_of(vms_.begin(), vms_.end(), is_ready)) {
            return true;
        }
        constexpr std::int64_t pause{50};
        sleep_ms(pause);
    }
    return false;
}

http_answer world::call(std::size_t vm, const std::string& method, const queue_options& queue,
                        const std::string& job, const std::string& body, std::int64_t timeout_ms)
{
    const entry_vm& to = vms_.at(vm);
    const std::string what = method + " " + queue.path_prefix + job;
    record_.add("client: " + what + " to " + to.name);
    const std::int64_t began = now_ms();
    http_answer answer =
        send_call({method, to.callers, queue.path_prefix + job, queue.host, body, timeout_ms});
    record_.add("client: " + what + " answered " + std::to_string(answer.status) + " " +
                answer.body + " after " + std::to_string(now_ms() - began) + " ms");
    return answer;
}

bool world::submit(const queue_options& queue, const std::string& job, const std::string& body,
                   int attempts)
{
    for (int i{0}; i < attempts; ++i) {
        const std::size_t vm = next_vm_++ % vms_.size();
        if (call(vm, "POST", queue, job, body).status == http_ok) {
            return true;
        }
        constexpr std::int64_t pause{200};
        sleep_ms(pause);
    }
    return false;
}

std::string world::state_of(const queue_options& queue, const std::string& job)
{
    const std::size_t vm = next_vm_++ % vms_.size();
    const http_answer answer = call(vm, "GET", queue, job);
    if (answer.status != http_ok) {
        return answer.status == 0 ? "" : std::to_string(answer.status);
    }
    const json body = json::parse(answer.body, nullptr, false);
    return body.is_object() ? body.value("state", "") : "";
}

std::string world::wait_for_state(const queue_options& queue, const std::string& job,
                                  const std::vector<std::string>& states, std::int64_t limit_ms)
{
    const std::int64_t deadline = now_ms() + limit_ms;
    std::string state;
    do {
        state = state_of(queue, job);
        if (std::find(states.begin(), states.end(), state) != states.end()) {
            break;
        }
        constexpr std::int64_t pause{200};
        sleep_ms(pause);
    } while (now_ms() < deadline);
    return state;
}

namespace {

/// One run of a task, from its start to its end.
struct run_span {
    const run_event* started{nullptr};
    const run_event* ended{nullptr};
    /// Its end was taken note of, and its runner's lease did not lapse in between.
    bool is_noted{false};
};

std::string describe(const run_event& e)
{
    return e.task + " run " + std::to_string(e.run) + " on " + e.runner;
}

} // namespace

std::vector<std::string> repeated_runs(const std::vector<run_event>& events)
{
    using run_key = std::tuple<std::string, std::int64_t, std::uint64_t>;
    std::map<std::string, std::map<run_key, run_span>> tasks;
    std::map<std::string, std::int64_t> lapsed_at;
    for (const run_event& e : events) {
        if (e.what == run_event::kind::lapsed) {
            lapsed_at[e.runner] = e.at_ms;
            continue;
        }
        run_span& span = tasks[e.task][{e.runner, e.born, e.run}];
        if (e.what == run_event::kind::started) {
            span.started = &e;
        }
        else if (e.what == run_event::kind::ended) {
            span.ended = &e;
        }
        else {
            const auto lapsed = lapsed_at.find(e.runner);
            span.is_noted = span.ended != nullptr &&
                            (lapsed == lapsed_at.end() || lapsed->second < span.ended->at_ms);
        }
    }
    std::vector<std::string> faults;
    for (const auto& [task, spans] : tasks) {
        for (const auto& [one_key, one] : spans) {
            for (const auto& [other_key, other] : spans) {
                const bool is_later = one.started != nullptr && other.started != nullptr &&
                                      one_key != other_key &&
                                      one.started->at_ms <= other.started->at_ms;
                if (!is_later) {
                    continue;
                }
                const bool overlaps =
                    one.ended == nullptr || one.ended->at_ms > other.started->at_ms;
                if (overlaps) {
                    faults.push_back(describe(*other.started) + " began while " +
                                     describe(*one.started) + " was running");
                }
                else if (one.ended->how == "done" && one.is_noted) {
                    faults.push_back(describe(*other.started) + " began " +
                                     std::to_string(other.started->at_ms - one.ended->at_ms) +
                                     " ms after " + describe(*one.started) + " had ended done");
                }
            }
        }
    }
    return faults;
}

} // namespace review
