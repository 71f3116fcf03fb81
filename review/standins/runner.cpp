/// \file
/// Implementation of the runner's stand-in.
#include "runner.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>

namespace review {

namespace {

using nlohmann::json;

constexpr int http_ok{200};
constexpr int http_bad_request{400};
constexpr int http_not_found{404};
constexpr int http_conflict{409};
constexpr int http_misdirected{421};
constexpr std::int64_t tick_ms{5};
constexpr std::size_t max_listed_ends{500};
constexpr std::int64_t heartbeats_until_removed{3};

} // namespace

runner::runner(asio::io_context& loop, store& platform, record& log, std::vector<run_event>& events,
               runner_options options)
    : platform_{platform}, record_{log}, events_{events}, timer_{loop},
      server_{loop, free_port(), [this](const http_request& request, const reply_function& reply) {
                  handle(request, reply);
              }}
{
    server_.kill();
    boot(std::move(options));
    arm();
}

void runner::boot(runner_options options)
{
    options_ = std::move(options);
    server_.restart();
    is_up_ = true;
    born_ = wall_ms();
    booted_at_ = now_ms();
    heartbeats_ = 0;
    next_heartbeat_ = now_ms() + options_.first_heartbeat_ms;
    record_.add("runner " + options_.id + ": booted, born " + std::to_string(born_));
}

void runner::crash()
{
    record_.add("runner " + options_.id + ": killed with " + std::to_string(runs_.size()) +
                " runs");
    for (const auto& [task, each] : runs_) {
        note_event(run_event::kind::ended, task, each.run, "lost");
    }
    is_up_ = false;
    server_.kill();
    runs_.clear();
    closed_.clear();
    ends_.clear();
    holds_.clear();
    last_end_ = 0;
    lease_until_ = 0;
    highest_token_ = 0;
}

void runner::set_cut_off(bool cut_off)
{
    record_.add("runner " + options_.id + (cut_off ? ": cut off" : ": reachable again"));
    is_cut_off_ = cut_off;
    server_.set_silent(cut_off);
}

void runner::note_event(run_event::kind what, const std::string& task, std::uint64_t run,
                        const std::string& how)
{
    events_.push_back({what, now_ms(), options_.id, born_, task, run, how});
    static const char* const names[]{"started", "ended", "end noted", "lease lapsed"};
    const std::string subject = task.empty() ? "" : task + " run " + std::to_string(run) + " ";
    record_.add("runner " + options_.id + ": " + subject + names[static_cast<std::size_t>(what)] +
                (how.empty() ? "" : " " + how));
}

void runner::answer(const reply_function& reply, int status, json body) const
{
    body["clock_ms"] = clock();
    body["born"] = born_;
    reply(status, body.dump());
}

void runner::refuse(const reply_function& reply, const char* reason) const
{
    answer(reply, http_conflict, {{"reason", reason}});
}

void runner::handle(const http_request& request, const reply_function& reply)
{
    if (static_cast<unsigned>(std::rand()) % 100 < late_percent_) {
        constexpr int shortest_ms{2'000};
        constexpr int spread_ms{10'000};
        const auto late_ms = std::chrono::milliseconds{shortest_ms + std::rand() % spread_ms};
        auto timer = std::make_shared<asio::steady_timer>(timer_.get_executor(), late_ms);
        timer->async_wait([this, timer, request, born = born_](const asio::error_code& error) {
            if (!error && is_up_ && born == born_) {
                carry_out(request, [](int, const std::string&) {});
            }
        });
        return;
    }
    carry_out(request, reply);
}

void runner::carry_out(const http_request& request, const reply_function& reply)
{
    if (request.header("x-expected-instance") != options_.id) {
        answer(reply, http_misdirected, json::object());
        return;
    }
    const json order = json::parse(request.body, nullptr, false);
    if (!order.is_object()) {
        answer(reply, http_bad_request, json::object());
        return;
    }
    const std::uint64_t token = order.value("fencing_token", std::uint64_t{0});
    if (token < highest_token_) {
        refuse(reply, "fence");
        return;
    }
    highest_token_ = token;
    if (request.path == "/-/run-start") {
        start(order, reply);
    }
    else if (request.path == "/-/run-stop") {
        stop(order, reply);
    }
    else if (request.path == "/-/hold") {
        hold(order, reply);
    }
    else if (request.path == "/-/pace") {
        answer(reply, http_ok, json::object());
    }
    else {
        answer(reply, http_not_found, json::object());
    }
}

void runner::extend(const json& order)
{
    const std::int64_t until = order.value("until_ms", std::int64_t{0});
    lease_until_ = std::max(lease_until_, std::min(until, clock() + options_.max_hold_ms));
}

void runner::start(const json& order, const reply_function& reply)
{
    const std::string task = order.value("task", "");
    const std::uint64_t run = order.value("run_id", std::uint64_t{0});
    const auto running = runs_.find(task);
    if (running != runs_.end() && running->second.run == run) {
        extend(order);
        answer(reply, http_ok, json::object());
        return;
    }
    const bool is_old = (running != runs_.end() && running->second.run > run) ||
                        (closed_.contains(task) && closed_[task] >= run);
    if (is_old) {
        extend(order);
        refuse(reply, "old");
        return;
    }
    if (order.value("until_ms", std::int64_t{0}) <= clock()) {
        refuse(reply, "late");
        return;
    }
    extend(order);
    const std::string text = order.value("task_spec", "");
    const auto space = text.find(' ');
    task_run started;
    started.run = run;
    started.started_at = now_ms();
    started.work_ms = space == std::string::npos ? 1 : std::stoll(text.substr(space + 1));
    started.outcome = text.starts_with("fail") ? "failed" : "done";
    runs_[task] = started;
    note_event(run_event::kind::started, task, run, "");
    answer(reply, http_ok, json::object());
}

void runner::stop(const json& order, const reply_function& reply)
{
    const std::string task = order.value("task", "");
    const std::uint64_t run = order.value("run_id", std::uint64_t{0});
    closed_[task] = std::max(closed_[task], run);
    const auto running = runs_.find(task);
    if (running != runs_.end() && running->second.run <= run) {
        end_run(task, "stopped");
        answer_holds(true);
    }
    answer(reply, http_ok, json::object());
}

void runner::end_run(const std::string& task, const std::string& how)
{
    const std::uint64_t run = runs_.at(task).run;
    runs_.erase(task);
    closed_[task] = std::max(closed_[task], run);
    ends_.push_back({++last_end_, task, run, how});
    note_event(run_event::kind::ended, task, run, how);
}

void runner::note_ends(std::uint64_t cursor)
{
    while (!ends_.empty() && ends_.front().number <= cursor) {
        note_event(run_event::kind::noted, ends_.front().task, ends_.front().run,
                   ends_.front().how);
        ends_.pop_front();
    }
}

void runner::hold(const json& order, const reply_function& reply)
{
    extend(order);
    note_ends(order.value("ack_cursor", std::uint64_t{0}));
    const std::int64_t wait =
        std::min<std::int64_t>(2'000, order.value("wait_ms", std::int64_t{0}));
    if (wait <= 0 || !ends_.empty()) {
        answer(reply, http_ok, report());
        return;
    }
    holds_.push_back({reply, now_ms() + wait});
}

json runner::report() const
{
    json body = {{"running", json::array()}, {"finished", json::array()}};
    for (const auto& [task, each] : runs_) {
        const std::int64_t percent = std::min<std::int64_t>(
            99, (now_ms() - each.started_at) * 100 / std::max<std::int64_t>(1, each.work_ms));
        body["running"].push_back({task, each.run, "", percent, 0});
    }
    for (const end& each : ends_) {
        if (body["finished"].size() >= max_listed_ends) {
            break;
        }
        body["finished"].push_back({each.number, each.task, each.run, each.how, ""});
    }
    return body;
}

void runner::answer_holds(bool has_new_end)
{
    for (auto it = holds_.begin(); it != holds_.end();) {
        if (has_new_end || now_ms() >= it->until) {
            answer(it->reply, http_ok, report());
            it = holds_.erase(it);
        }
        else {
            ++it;
        }
    }
}

void runner::tick()
{
    if (is_up_) {
        std::vector<std::pair<std::string, std::string>> ending;
        for (const auto& [task, each] : runs_) {
            if (clock() >= lease_until_) {
                ending.emplace_back(task, "lapsed");
            }
            else if (now_ms() >= each.started_at + each.work_ms) {
                ending.emplace_back(task, each.outcome);
            }
        }
        for (const auto& [task, how] : ending) {
            end_run(task, how);
        }
        const bool has_lapsed = clock() >= lease_until_;
        if (has_lapsed && !is_lapsed_) {
            note_event(run_event::kind::lapsed, "", 0, "");
        }
        is_lapsed_ = has_lapsed;
        answer_holds(!ending.empty());
    }
    send_heartbeat();
    arm();
}

void runner::arm()
{
    timer_.expires_after(std::chrono::milliseconds{tick_ms});
    timer_.async_wait([this](const asio::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

void runner::send_heartbeat()
{
    const std::int64_t now = now_ms();
    if (platform_.is_down()) {
        return;
    }
    if (!is_up_ || is_cut_off_) {
        const bool is_silent =
            now - last_heartbeat_ > options_.heartbeat_ms * heartbeats_until_removed;
        if (is_listed_ && is_silent) {
            is_listed_ = false;
            platform_.remove("servers", options_.id);
            record_.add("runner " + options_.id + ": entry removed after silence");
        }
        return;
    }
    if (now < next_heartbeat_) {
        return;
    }
    next_heartbeat_ = now + options_.heartbeat_ms;
    last_heartbeat_ = now;
    is_listed_ = true;
    const json entry = {
        {"service", options_.service},
        {"address", server_.address()},
        {"zone", options_.failure_domain},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_left_ms", 0},
        {"capacity", {{"cpu", options_.milli_cores}, {"mem_mb", options_.memory_mb}, {"gpu", 0}}},
        {"labels", options_.labels},
        {"clock_ms", clock()},
        {"born", born_},
        {"seq", ++heartbeats_}};
    platform_.put("servers", options_.id, entry.dump());
}

} // namespace review
