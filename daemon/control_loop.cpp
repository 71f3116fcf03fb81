/// \file
/// The loop of the control thread.
#include "control_loop.h"

#include <chrono>
#include <utility>

#include <asio/post.hpp>

#include "io_limits.h"

namespace cuminmoor::io {

namespace {

bool has_inputs(const state& s)
{
    // The instant before the first read lies before any reading of the clock.
    return s.membership.has_list && s.configuration.confirmed_at >= instant{0};
}

control_snapshot take_snapshot(const state& s, std::size_t queued)
{
    control_snapshot snapshot;
    snapshot.counters = s.counters.all();
    snapshot.has_inputs = has_inputs(s);
    snapshot.queued_events = queued;
    snapshot.open_requests = s.requests.open.size();
    snapshot.open_commands = s.commands.waiting.size();
    snapshot.configuration_version = s.configuration.current.version.value;
    snapshot.lease_epoch = s.scheduler.lease.seen.epoch.value;
    snapshot.holds_lease = s.scheduler.lease.role == lease_role::holder;
    return snapshot;
}

} // namespace

control_loop::control_loop(const reducer& decides, state initial, clock_source& clock,
                           metrics& published)
    : reducer_{decides}, state_{std::move(initial)}, clock_{clock}, metrics_{published}
{
}

void control_loop::post(event e)
{
    const std::lock_guard lock{mutex_};
    queue_.push_back(std::move(e));
    if (!drain_scheduled_) {
        drain_scheduled_ = true;
        asio::post(context_, [this] { drain(); });
    }
}

void control_loop::run(effect_executor& executor)
{
    executor_ = &executor;
    wait_for_tick();
    context_.run();
}

void control_loop::wait_for_tick()
{
    timer_.expires_after(std::chrono::milliseconds{config::tick_period.count});
    timer_.async_wait([this](const asio::error_code& error) {
        if (!error) {
            step(tick{});
            publish_when_due();
            wait_for_tick();
        }
    });
}

void control_loop::drain()
{
    std::deque<event> taken;
    {
        const std::lock_guard lock{mutex_};
        taken.swap(queue_);
        drain_scheduled_ = false;
    }
    for (const event& e : taken) {
        if (complete_) {
            return;
        }
        step(e);
    }
}

void control_loop::step(const event& e)
{
    const auto began = measuring_clock::now();
    for (const effect& wanted : reducer_.step(state_, e, clock_.now())) {
        complete_ = executor_->execute(wanted, state_) || complete_;
    }
    metrics_.control_step.add(measuring_clock::now() - began);
    if (complete_) {
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
