/// \file
/// Interface by which I/O components post events to the core.
#pragma once

#include "cuminmoor/event.h"

namespace cuminmoor::io {

class event_sink {
public:
    event_sink() = default;
    event_sink(const event_sink&) = delete;
    event_sink& operator=(const event_sink&) = delete;
    event_sink(event_sink&&) = delete;
    event_sink& operator=(event_sink&&) = delete;
    virtual ~event_sink() = default;

    /// Queues an event for the control thread. Thread-safe.
    virtual void post(event e) = 0;
};

} // namespace cuminmoor::io
