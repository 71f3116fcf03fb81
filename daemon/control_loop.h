/// \file
/// Event loop of the control thread: owns the state, runs the reducer and executes its effects.
#pragma once

#include <deque>
#include <mutex>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "cuminmoor/clock.h"
#include "cuminmoor/reducer.h"
#include "effect_executor.h"
#include "event_sink.h"
#include "metrics.h"

namespace cuminmoor::io {

class control_loop final : public event_sink {
public:
    /// All references must outlive the loop. Latencies and snapshots go to `process_metrics`.
    control_loop(const reducer& event_reducer, state initial, clock_source& clock,
                 metrics& process_metrics);

    /// Thread-safe. May be called before `run`; events posted after `run` returned are ignored.
    void post(event e) override;

    /// Runs on the calling thread until the core emits `shutdown_complete`.
    void run(effect_executor& executor);

private:
    void schedule_tick();
    void process_queue();
    void process_event(const event& e);
    void publish_when_due();

    const reducer& reducer_;
    state state_;
    clock_source& clock_;
    metrics& metrics_;
    effect_executor* executor_{nullptr};
    asio::io_context context_{1};
    asio::steady_timer timer_{context_};
    instant next_snapshot_;
    bool is_shutdown_complete_{false};

    // Shared with the threads that post events.
    std::mutex mutex_;
    std::deque<event> queue_;
    /// True while a call of `process_queue` is scheduled that will take the whole queue.
    bool is_processing_scheduled_{false};
};

} // namespace cuminmoor::io
