/// \file
/// Implementation of the runner.
#include "runner.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace review {

namespace {

constexpr int http_ok{200};
constexpr int http_bad_request{400};
constexpr int http_conflict{409};
constexpr int http_misdirected{421};
constexpr std::int64_t heartbeat_ms{1'500};
constexpr std::int64_t max_hold_ms{10'000};
constexpr std::int64_t stop_ms{50};
constexpr std::int64_t early_failure_ms{4'000};
constexpr std::size_t max_listed_ends{500};
constexpr std::chrono::milliseconds work_period{5};

std::int64_t unix_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// \return the time of work that a task's text asks for, "ms=N"; 0: it lasts.
std::int64_t work_ms(const std::string& spec)
{
    const std::size_t at = spec.find("ms=");
    return at == std::string::npos ? 0 : std::strtoll(spec.c_str() + at + 3, nullptr, 10);
}

} // namespace

runner::runner(store& platform, recorder& record, runner_options options, start_hook on_start)
    : platform_{platform}, record_{record}, options_{std::move(options)},
      on_start_{std::move(on_start)}, server_{[this](const http_request& request) {
          return handle(request);
      }}
{
    begin_life(0);
}

runner::~runner()
{
    crash();
}

void runner::begin_life(std::int64_t report_after_ms)
{
    {
        const std::lock_guard lock{mutex_};
        born_unix_ms_ = unix_ms();
        born_ms_ = record_.now_ms();
        next_report_ms_ = born_ms_ + report_after_ms;
        seq_ = 0;
        fence_ = 0;
        lease_until_ = 0;
        last_end_ = 0;
        running_.clear();
        stopping_.clear();
        ended_runs_.clear();
        finished_.clear();
        is_up_ = true;
    }
    server_.start(server_.port());
    worker_ = std::thread{[this] { work(); }};
}

void runner::crash()
{
    {
        const std::lock_guard lock{mutex_};
        if (!is_up_) {
            return;
        }
        is_up_ = false;
        record_.add("runner " + options_.id + " ends, with " + std::to_string(running_.size()) +
                    " tasks");
        running_.clear();
    }
    changed_.notify_all();
    server_.stop();
    worker_.join();
}

void runner::start_again(const runner_options& options, std::int64_t report_after_ms)
{
    options_ = options;
    begin_life(report_after_ms);
    record_.add("runner " + options_.id + " starts again");
}

std::vector<task_run> runner::running()
{
    const std::lock_guard lock{mutex_};
    std::vector<task_run> all;
    for (const auto& [task, each] : running_) {
        all.push_back(each);
    }
    return all;
}

json runner::report()
{
    const std::lock_guard lock{mutex_};
    return {{"service", options_.service},
            {"address", server_.address()},
            {"zone", options_.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"capacity", {{"cpu", options_.cpu}, {"mem_mb", options_.mem_mb}, {"gpu", 0}}},
            {"labels", options_.labels},
            {"clock_ms", clock_ms()},
            {"born", born_unix_ms_},
            {"seq", ++seq_}};
}

std::int64_t runner::clock_ms() const
{
    return record_.now_ms() - born_ms_;
}

void runner::work()
{
    while (true) {
        bool is_report_due{false};
        {
            std::unique_lock lock{mutex_};
            if (!is_up_) {
                return;
            }
            const std::int64_t now = record_.now_ms();
            end_due_tasks(now);
            is_report_due = now >= next_report_ms_;
            if (is_report_due) {
                next_report_ms_ = now + heartbeat_ms;
            }
        }
        if (is_report_due) {
            platform_.put("servers", options_.id, report());
        }
        std::this_thread::sleep_for(work_period);
    }
}

void runner::end_due_tasks(std::int64_t now)
{
    std::vector<std::pair<std::string, std::string>> due;
    const bool is_lapsed = clock_ms() >= lease_until_;
    for (const auto& [task, each] : running_) {
        const auto stop = stopping_.find(task);
        if (stop != stopping_.end() && now >= stop->second) {
            due.emplace_back(task, "stopped");
        }
        else if (each.ends_ms != 0 && now >= each.ends_ms) {
            due.emplace_back(task, each.how);
        }
        else if (is_lapsed) {
            due.emplace_back(task, "lapsed");
        }
    }
    for (const auto& [task, how] : due) {
        end_task(task, how);
    }
}

void runner::end_task(const std::string& task, const std::string& how)
{
    const task_run ended = running_.at(task);
    running_.erase(task);
    stopping_.erase(task);
    ended_runs_[task] = std::max(ended_runs_[task], ended.run);
    finished_.push_back({++last_end_, task, ended.run, how});
    record_.add("end " + task + " run " + std::to_string(ended.run) + " on " + options_.id + " " +
                how);
    changed_.notify_all();
}

http_response runner::refuse(const char* reason) const
{
    const json body = {{"clock_ms", clock_ms()}, {"reason", reason}};
    return {http_conflict, body.dump()};
}

bool runner::take_fence(const json& order)
{
    const std::uint64_t fence = order.value("fencing_token", std::uint64_t{0});
    if (fence < fence_) {
        return false;
    }
    fence_ = fence;
    return true;
}

void runner::extend_lease(const json& order)
{
    const std::int64_t until = order.value("until_ms", std::int64_t{0});
    lease_until_ = std::max(lease_until_, std::min(until, clock_ms() + max_hold_ms));
}

http_response runner::handle(const http_request& request)
{
    std::unique_lock lock{mutex_};
    if (!is_up_) {
        return {};
    }
    const auto meant = request.headers.find("x-expected-instance");
    if (meant != request.headers.end() && meant->second != options_.id) {
        return {http_misdirected, "{}"};
    }
    const json order = json::parse(request.body, nullptr, false);
    if (!order.is_object()) {
        return {http_bad_request, "{}"};
    }
    if (!take_fence(order)) {
        return refuse("fence");
    }
    if (request.path == "/-/run-start") {
        return handle_start(order);
    }
    if (request.path == "/-/run-stop") {
        return handle_stop(order);
    }
    if (request.path == "/-/hold") {
        return handle_hold(order, lock);
    }
    const json body = {{"clock_ms", clock_ms()}};
    return {http_ok, body.dump()};
}

http_response runner::handle_start(const json& order)
{
    const std::string task = order.at("task");
    const std::uint64_t run = order.at("run_id");
    const auto known = running_.find(task);
    const bool is_there = known != running_.end() && known->second.run == run;
    const auto ended = ended_runs_.find(task);
    if (!is_there && ended != ended_runs_.end() && run <= ended->second) {
        extend_lease(order);
        return refuse("old");
    }
    if (!is_there && order.value("until_ms", std::int64_t{0}) <= clock_ms()) {
        return refuse("late");
    }
    extend_lease(order);
    if (!is_there) {
        const std::int64_t now = record_.now_ms();
        const std::string spec = order.value("task_spec", "");
        const std::int64_t work = work_ms(spec);
        task_run& begun = running_[task];
        begun = {task, run, spec, now, work == 0 ? 0 : now + work};
        if (spec.find("saves") != std::string::npos) {
            begun.checkpoint = std::string(options_.checkpoint_length, 'c');
        }
        if (spec.find("first-fails") != std::string::npos && task.ends_with(".0") && run == 1) {
            begun.ends_ms = now + early_failure_ms;
            begun.how = "failed";
        }
        record_.add("start " + task + " run " + std::to_string(run) + " on " + options_.id);
        on_start_(options_.id, running_[task]);
    }
    const json body = {{"clock_ms", clock_ms()}};
    return {http_ok, body.dump()};
}

http_response runner::handle_stop(const json& order)
{
    const std::string task = order.at("task");
    const std::uint64_t run = order.at("run_id");
    const auto known = running_.find(task);
    if (known != running_.end() && known->second.run <= run) {
        stopping_.try_emplace(task, record_.now_ms() + stop_ms);
    }
    else {
        ended_runs_[task] = std::max(ended_runs_[task], run);
    }
    const json body = {{"clock_ms", clock_ms()}};
    return {http_ok, body.dump()};
}

http_response runner::handle_hold(const json& order, std::unique_lock<std::mutex>& lock)
{
    extend_lease(order);
    const std::uint64_t acknowledged = order.value("ack_cursor", std::uint64_t{0});
    std::erase_if(finished_, [&](const task_end& each) { return each.number <= acknowledged; });
    const std::chrono::milliseconds wait{order.value("wait_ms", 0)};
    changed_.wait_for(lock, wait, [this] { return !is_up_ || !finished_.empty(); });
    if (!is_up_) {
        return {};
    }
    return {http_ok, lists().dump()};
}

json runner::lists() const
{
    json running = json::array();
    constexpr int some_percent{10};
    for (const auto& [task, each] : running_) {
        running.push_back({task, each.run, each.checkpoint, some_percent, 0});
    }
    json finished = json::array();
    for (const task_end& each : finished_) {
        if (finished.size() == max_listed_ends) {
            break;
        }
        finished.push_back({each.number, each.task, each.run, each.how, ""});
    }
    return {{"clock_ms", clock_ms()},
            {"born", born_unix_ms_},
            {"running", std::move(running)},
            {"finished", std::move(finished)}};
}

} // namespace review
