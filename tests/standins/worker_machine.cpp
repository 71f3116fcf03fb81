/// \file
/// Timers of the stand-in worker.
#include "worker_machine.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace standin {

namespace {

constexpr std::int64_t permille = 1'000;
const std::string checkpoint_prefix = "progress:";

std::int64_t progress_in(const std::string& checkpoint)
{
    std::int64_t progress = 0;
    if (checkpoint.starts_with(checkpoint_prefix)) {
        const auto* const end = checkpoint.data() + checkpoint.size();
        std::from_chars(checkpoint.data() + checkpoint_prefix.size(), end, progress);
    }
    return progress;
}

void end_attempt(attempt_run& run, const std::string& status, std::int64_t at_ms)
{
    run.status = status;
    run.ended_ms = at_ms;
}

/// Moves one running attempt on to `now_ms`; it may end on the way.
void advance_attempt(attempt_run& run, std::int64_t now_ms)
{
    const auto left_ms = run.command.run_ms - run.progress_ms;
    const auto pace = std::max<std::int64_t>(run.throttle_permille, 1);
    const auto finish_ms = run.counted_to_ms + (left_ms * permille + pace - 1) / pace;
    const auto until_ms = std::min(now_ms, run.lease_ends_ms);
    if (finish_ms <= until_ms) {
        run.progress_ms = run.command.run_ms;
        end_attempt(run, "finished", finish_ms);
    }
    else {
        run.progress_ms += (until_ms - run.counted_to_ms) * pace / permille;
        run.counted_to_ms = until_ms;
        if (run.lease_ends_ms <= now_ms) {
            end_attempt(run, "lapsed", run.lease_ends_ms);
        }
    }
}

json usage_of(const attempt_run& run)
{
    const bool running = run.status == "running";
    const auto cores = number_at(run.size, "milli_cores") * run.command.cpu_permille / permille *
                       run.throttle_permille / permille;
    return {{"milli_cores", running ? cores : 0},
            {"memory_mib", running ? number_at(run.size, "memory_mib") : 0},
            {"accelerators", running ? number_at(run.size, "accelerators") : 0}};
}

json describe(const std::string& worker, const std::string& task, std::int64_t attempt,
              const attempt_run& run)
{
    return {{"worker", worker},
            {"task", task},
            {"attempt", attempt},
            {"status", run.status},
            {"size", run.size},
            {"start_ms", run.started_ms},
            {"end_ms", run.ended_ms},
            {"resumed_at_ms", run.resumed_at_ms},
            {"progress_ms", run.progress_ms},
            {"throttle_permille", run.throttle_permille}};
}

} // namespace

task_command parse_command(const std::string& text)
{
    std::istringstream words{text};
    task_command parsed;
    std::string word;
    while (words >> word) {
        if (word == "run") {
            words >> parsed.run_ms;
        }
        else if (word == "cpu") {
            words >> parsed.cpu_permille;
        }
        else {
            parsed.fails = true;
        }
    }
    return parsed;
}

json worker_machine::sync(const json& request, std::int64_t now_ms)
{
    advance(now_ms);
    const auto meant_for = text_at(request, "incarnation");
    if (!meant_for.empty() && meant_for != profile_.incarnation) {
        return report(now_ms);
    }
    const auto renew_ms = number_at(request, "renew_for_ms");
    for (auto& [key, run] : attempts_) {
        if (run.status == "running") {
            run.lease_ends_ms = std::max(run.lease_ends_ms, now_ms + renew_ms);
        }
    }
    for (const auto& order : array_at(request, "orders")) {
        obey(order, now_ms, renew_ms);
    }
    return report(now_ms);
}

json worker_machine::history(std::int64_t now_ms)
{
    advance(now_ms);
    auto starts = json::array();
    for (const auto* group : {&past_, &attempts_}) {
        for (const auto& [key, run] : *group) {
            starts.push_back(describe(profile_.name, key.first, key.second, run));
        }
    }
    return {{"starts", starts}, {"expired_starts", expired_starts_}};
}

void worker_machine::advance(std::int64_t now_ms)
{
    for (auto& [key, run] : attempts_) {
        if (run.status == "running") {
            advance_attempt(run, now_ms);
        }
    }
}

void worker_machine::obey(const json& order, std::int64_t now_ms, std::int64_t renew_ms)
{
    const auto kind = text_at(order, "kind");
    const attempt_key key{text_at(order, "task"), number_at(order, "attempt")};
    if (kind == "start") {
        start(key, order, now_ms, renew_ms);
    }
    else if (kind == "stop") {
        stop(key, flag_at(order, "checkpoint"), now_ms);
    }
    else if (kind == "throttle") {
        const auto found = attempts_.find(key);
        if (found != attempts_.end()) {
            found->second.throttle_permille = number_at(order, "permille", permille);
        }
    }
    else if (kind == "acknowledge") {
        acknowledge(key);
    }
}

void worker_machine::start(const attempt_key& key, const json& order, std::int64_t now_ms,
                           std::int64_t renew_ms)
{
    if (attempts_.contains(key) || past_.contains(key)) {
        return;
    }
    if (now_ms >= number_at(order, "start_before_ms")) {
        ++expired_starts_;
        return;
    }
    attempt_run run;
    run.command = parse_command(text_at(order, "command"));
    run.size = order.value("size", json::object());
    run.checkpoint = text_at(order, "checkpoint");
    run.resumed_at_ms = progress_in(run.checkpoint);
    run.progress_ms = run.resumed_at_ms;
    run.started_ms = now_ms;
    run.counted_to_ms = now_ms;
    run.lease_ends_ms = now_ms + renew_ms;
    if (failing_ || run.command.fails) {
        end_attempt(run, "failed", now_ms);
    }
    attempts_[key] = run;
}

void worker_machine::stop(const attempt_key& key, bool checkpoint, std::int64_t now_ms)
{
    const auto found = attempts_.find(key);
    if (found == attempts_.end() || found->second.status != "running") {
        return;
    }
    if (checkpoint) {
        found->second.checkpoint = checkpoint_prefix + std::to_string(found->second.progress_ms);
    }
    end_attempt(found->second, "stopped", now_ms);
}

void worker_machine::acknowledge(const attempt_key& key)
{
    const auto found = attempts_.find(key);
    if (found != attempts_.end() && found->second.status != "running") {
        past_.insert(attempts_.extract(found));
    }
}

json worker_machine::report(std::int64_t now_ms) const
{
    auto tasks = json::array();
    for (const auto& [key, run] : attempts_) {
        tasks.push_back({{"task", key.first},
                         {"attempt", key.second},
                         {"status", run.status},
                         {"checkpoint", run.checkpoint},
                         {"usage", usage_of(run)},
                         {"p99_us", 0}});
    }
    return {{"incarnation", profile_.incarnation},
            {"clock_ms", now_ms},
            {"capacity",
             {{"milli_cores", profile_.milli_cores},
              {"memory_mib", profile_.memory_mib},
              {"accelerators", profile_.accelerators}}},
            {"rack", profile_.rack},
            {"tasks", tasks}};
}

} // namespace standin
