/// \file
/// Order in which an event loop hands events to the reducer.
#pragma once

#include <deque>
#include <optional>

#include "cuminmoor/central/event.h"
#include "cuminmoor/clock.h"

namespace cuminmoor::io {

/// Events in two classes, each in order of arrival. Those that may be overtaken
/// (`central::may_be_overtaken`) are taken in slices, between which the loop polls its sockets; so
/// a call waits for one slice at most, not for all results of runners that have arrived.
class event_queue {
public:
    void push(central::event e);

    /// Begins a slice that is as long as the time since the last one, and at least
    /// `runner_event_slice`: events that may be overtaken get half of a busy loop's time.
    void begin_slice(instant now);
    void end_slice(instant now);

    /// \return the event that goes next, or nothing if the rest waits for the next slice.
    std::optional<central::event> take(instant now);

    /// \return true if events wait for the next slice.
    [[nodiscard]] bool needs_slice() const { return !overtaken_.empty(); }
    [[nodiscard]] bool has_tick() const { return has_tick_; }

private:
    struct slice {
        instant end;
        bool is_used{false};
    };

    std::deque<central::event> prompt_;
    std::deque<central::event> overtaken_;
    /// A tick is in `overtaken_`.
    bool has_tick_{false};
    std::optional<slice> slice_;
    /// Set if events were left then.
    std::optional<instant> slice_ended_at_;
};

} // namespace cuminmoor::io
