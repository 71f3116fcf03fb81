/// \file
/// An event sink from which tests take events.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

#include "event_sink.h"

namespace test {

/// Queues events in order of arrival.
class event_list final : public cuminmoor::io::event_sink {
public:
    void post(cuminmoor::event e) override
    {
        const std::lock_guard lock{mutex_};
        events_.push_back(std::move(e));
        changed_.notify_all();
    }

    /// Waits for the next event, which must be an `Event`.
    template <typename Event>
    Event take()
    {
        std::unique_lock lock{mutex_};
        changed_.wait(lock, [this] { return !events_.empty(); });
        const cuminmoor::event first = std::move(events_.front());
        events_.pop_front();
        return std::get<Event>(first);
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<cuminmoor::event> events_;
};

} // namespace test
