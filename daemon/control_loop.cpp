/// \file
/// Event loop of the control thread.
#include "control_loop.h"

#include <chrono>
#include <utility>

#include <asio/post.hpp>

#include "io_limits.h"

namespace cuminmoor::io {

namespace {

bool is_ready(const state& s)
{
    // `confirmed_at` is negative until the configuration has been read.
    return s.membership.has_list && s.configuration.confirmed_at >= instant{0};
}

control_snapshot take_snapshot(const state& s, std::size_t queued)
{
    control_snapshot snapshot;
    snapshot.counters = s.counters.all();
    snapshot.is_ready = is_ready(s);
    snapshot.queued_events = queued;
    snapshot.open_requests = s.requests.open.size();
    snapshot.open_commands = s.commands.waiting.size();
    snapshot.configuration_version = s.configuration.current.version.value;
    snapshot.lease_epoch = s.scheduler.lease.seen.epoch.value;
    snapshot.holds_lease = s.scheduler.lease.role == lease_role::holder;
    return snapshot;
}

} // namespace

control_loop::control_loop(const reducer& event_reducer, state initial, clock_source& clock,
                           metrics& process_metrics)
    : reducer_{event_reducer}, state_{std::move(initial)}, clock_{clock}, metrics_{process_metrics}
{
}

void control_loop::post(event e)
{
    const std::lock_guard lock{mutex_};
    queue_.push_back(std::move(e));
    if (!is_processing_scheduled_) {
        is_processing_scheduled_ = true;
        asio::post(context_, [this] { process_queue(); });
    }
}

void control_loop::run(effect_executor& executor)
{
    executor_ = &executor;
    schedule_tick();
    context_.run();
}

void control_loop::schedule_tick()
{
    timer_.expires_after(std::chrono::milliseconds{config::tick_period.count});
    timer_.async_wait([this](const asio::error_code& error) {
        if (!error) {
            process_event(tick{});
            publish_when_due();
            schedule_tick();
        }
    });
}

void control_loop::process_queue()
{
    std::deque<event> batch;
    {
        const std::lock_guard lock{mutex_};
        batch.swap(queue_);
        is_processing_scheduled_ = false;
    }
    for (const event& e : batch) {
        if (is_shutdown_complete_) {
            return;
        }
        process_event(e);
    }
}

void control_loop::process_event(const event& e)
{
    const auto started_at = measuring_clock::now();
    for (const effect& produced : reducer_.step(state_, e, clock_.now())) {
        is_shutdown_complete_ = executor_->execute(produced, state_) || is_shutdown_complete_;
    }
    metrics_.control_step.add(measuring_clock::now() - started_at);
    if (is_shutdown_complete_) {
        context_.stop();
    }
}

void control_loop::publish_when_due()
{
    const instant now = clock_.now();
    if (now < next_snapshot_) {
        return;
    }
    next_snapshot_ = now + snapshot_period;
    std::size_t queued{0};
    {
        const std::lock_guard lock{mutex_};
        queued = queue_.size();
    }
    metrics_.publish(take_snapshot(state_, queued));
}

} // namespace cuminmoor::io
