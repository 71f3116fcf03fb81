/// \file
/// In-memory fake of a worker.
#include "fake_worker.h"

#include <algorithm>

namespace cuminmoor::scenario {

namespace {

/// Parses the command of a test task, "run MS", or its checkpoint, "MS".
millis parse_millis(const std::string& text)
{
    std::int64_t n = 0;
    for (const char ch : text) {
        n = ch >= '0' && ch <= '9' ? n * 10 + (ch - '0') : n;
    }
    return {n};
}

} // namespace

void fake_worker::run_until(instant now)
{
    for (auto& [key, a] : attempts) {
        if (a.status != task_status::running) {
            continue;
        }
        if (lease_end <= now) {
            a.status = task_status::lapsed;
            continue;
        }
        a.progress = a.progress + (now - simulated_until_);
        if (fails_all_attempts) {
            a.status = task_status::failed;
        }
        else if (a.progress >= a.length) {
            a.status = task_status::finished;
        }
    }
    simulated_until_ = now;
}

void fake_worker::start(const start_order& order, instant now)
{
    const attempt_key key{order.task, order.attempt};
    const remote_instant clock{now.ms + clock_offset.count};
    if (attempts.contains(key) || clock >= order.start_before) {
        return;
    }
    fake_attempt a;
    a.size = order.size;
    a.checkpoint = order.checkpoint;
    a.progress = parse_millis(order.checkpoint);
    const bool is_service = order.command.starts_with("service");
    a.length = is_service ? millis{INT64_MAX / 4} : parse_millis(order.command);
    attempts.emplace(key, a);
}

void fake_worker::execute(const worker_order& order, instant now)
{
    if (const auto* const s = std::get_if<start_order>(&order)) {
        start(*s, now);
        return;
    }
    if (const auto* const s = std::get_if<stop_order>(&order)) {
        const auto at = attempts.find({s->task, s->attempt});
        if (at != attempts.end() && at->second.status == task_status::running) {
            at->second.status = task_status::stopped;
            at->second.checkpoint =
                s->checkpoint ? std::to_string(at->second.progress.count) : at->second.checkpoint;
        }
        return;
    }
    if (const auto* const a = std::get_if<acknowledge_order>(&order)) {
        const auto at = attempts.find({a->task, a->attempt});
        if (at != attempts.end() && at->second.status != task_status::running) {
            attempts.erase(at);
        }
    }
}

worker_report fake_worker::report(instant now) const
{
    worker_report r;
    r.incarnation = std::to_string(incarnation);
    r.clock = {now.ms + clock_offset.count};
    r.capacity = capacity;
    r.rack = {rack};
    for (const auto& [key, a] : attempts) {
        r.tasks.push_back({key.first, key.second, a.status, a.checkpoint, a.size, 0});
    }
    return r;
}

worker_report fake_worker::handle(const worker_sync& sync, instant now)
{
    run_until(now);
    lease_end = now + sync.renew_for;
    if (sync.incarnation.empty() || sync.incarnation == std::to_string(incarnation)) {
        for (const auto& order : sync.orders) {
            execute(order, now);
        }
    }
    return report(now);
}

void fake_worker::resume_at(instant now)
{
    simulated_until_ = now;
    run_until(now);
}

void fake_worker::restart(instant now)
{
    attempts.clear();
    ++incarnation;
    simulated_until_ = now;
}

} // namespace cuminmoor::scenario
