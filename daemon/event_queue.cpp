/// \file
/// Implementation of the event queue.
#include "event_queue.h"

#include <algorithm>
#include <utility>

#include "io_limits.h"

namespace cuminmoor::io {

namespace {

central::event pop_front(std::deque<central::event>& from)
{
    central::event e = std::move(from.front());
    from.pop_front();
    return e;
}

} // namespace

void event_queue::push(central::event e)
{
    has_tick_ = has_tick_ || std::holds_alternative<central::tick>(e);
    auto& to = central::may_be_overtaken(e) ? overtaken_ : prompt_;
    to.push_back(std::move(e));
}

void event_queue::begin_slice(instant now)
{
    const millis others = slice_ended_at_ ? now - *slice_ended_at_ : millis{0};
    slice_ = slice{now + std::max(runner_event_slice, others)};
}

void event_queue::end_slice(instant now)
{
    slice_.reset();
    slice_ended_at_ = needs_slice() ? std::optional{now} : std::nullopt;
}

std::optional<central::event> event_queue::take(instant now)
{
    if (!prompt_.empty()) {
        return pop_front(prompt_);
    }
    const bool is_open = slice_ && (!slice_->is_used || now < slice_->end);
    if (!is_open || overtaken_.empty()) {
        return std::nullopt;
    }
    slice_->is_used = true;
    central::event e = pop_front(overtaken_);
    has_tick_ = has_tick_ && !std::holds_alternative<central::tick>(e);
    return e;
}

} // namespace cuminmoor::io
