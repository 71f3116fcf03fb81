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
    auto& to = central::may_be_overtaken(e) ? overtaken_ : prompt_;
    to.push_back(std::move(e));
}

void event_queue::begin_slice(instant now)
{
    const millis others = slice_ended_at_ ? now - *slice_ended_at_ : millis{0};
    slice_ = slice{now, now + std::max(runner_event_slice, others + owed_)};
}

void event_queue::end_slice(instant now)
{
    owed_ = needs_slice() && slice_ ? std::max(millis{0}, slice_->end - now) : millis{0};
    slice_.reset();
    slice_ended_at_ = needs_slice() ? std::optional{now} : std::nullopt;
}

std::optional<central::event> event_queue::take(instant now)
{
    if (!prompt_.empty()) {
        central::event e = pop_front(prompt_);
        if (auto* const tick = std::get_if<central::tick>(&e)) {
            tick->unread_reports = unread_reports();
        }
        return e;
    }
    if (!is_open(now) || overtaken_.empty()) {
        return std::nullopt;
    }
    slice_->is_used = true;
    return pop_front(overtaken_);
}

bool event_queue::is_open(instant now) const
{
    if (!slice_ || !slice_->is_used) {
        return slice_.has_value();
    }
    const bool is_tick_due = now >= next_tick_ && now - slice_->begin >= runner_event_slice;
    return now < slice_->end && !is_tick_due;
}

std::set<central::runner_id> event_queue::unread_reports() const
{
    std::set<central::runner_id> runners;
    for (const central::event& e : overtaken_) {
        if (const central::runner_id* const runner = central::reporting_runner(e)) {
            runners.insert(*runner);
        }
    }
    return runners;
}

} // namespace cuminmoor::io
