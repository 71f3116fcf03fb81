/// \file
/// Order in which an event loop hands events to the reducer.
#pragma once

#include <deque>
#include <optional>
#include <set>

#include "cuminmoor/central/event.h"
#include "cuminmoor/clock.h"

namespace cuminmoor::io {

/// Events in two classes, each in order of arrival. Those that may be overtaken
/// (`central::may_be_overtaken`) are taken in slices, between which the loop polls its sockets and
/// timers; so a call or a tick waits for one slice at most, not for all results of runners that
/// have arrived.
class event_queue {
public:
    void push(central::event e);

    /// A slice ends early when this time has come, but lasts for `runner_event_slice` at least. The
    /// next one is longer in return.
    void set_next_tick(instant at) { next_tick_ = at; }

    /// Begins a slice that is as long as the time since the last one, and at least
    /// `runner_event_slice`: events that may be overtaken get half of a busy loop's time.
    void begin_slice(instant now);
    void end_slice(instant now);

    /// \return the event that goes next, or nothing if the rest waits for the next slice. Ticks
    /// have their `unread_reports`.
    std::optional<central::event> take(instant now);

    /// \return true if events wait for the next slice.
    [[nodiscard]] bool needs_slice() const { return !overtaken_.empty(); }

private:
    struct slice {
        instant begin;
        instant end;
        bool is_used{false};
    };

    [[nodiscard]] bool is_open(instant now) const;
    [[nodiscard]] std::set<central::runner_id> unread_reports() const;

    std::deque<central::event> prompt_;
    std::deque<central::event> overtaken_;
    instant next_tick_{never};
    std::optional<slice> slice_;
    /// Set if events were left then.
    std::optional<instant> slice_ended_at_;
    /// What the last slice lacked as it ended early.
    millis owed_;
};

} // namespace cuminmoor::io
