/// \file
/// The effect type: all actions that the core can request. Effects are data: a reducer step adds
/// them to a buffer, and the driver executes them.
#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cuminmoor/clock.h"
#include "cuminmoor/command.h"
#include "cuminmoor/membership.h"
#include "cuminmoor/request.h"
#include "cuminmoor/store.h"
#include "cuminmoor/worker.h"

namespace cuminmoor {

/// One key=value pair of a log line.
struct log_field {
    std::string name;
    std::string value;
};

/// Effect: write one log line, "event=<name>" followed by the fields in order.
struct log_event {
    std::string name;
    std::vector<log_field> fields;
};

/// Effect: shutdown is complete; the process may exit.
struct shutdown_complete {};

using effect_body = std::variant<store_commit, store_read, object_put, object_get, vm_list_read,
                                 peer_send, worker_sync, request_dispatch, request_drop_dispatch,
                                 request_answer, command_answer, log_event, shutdown_complete>;

/// An effect with its expiry. The driver checks `not_after` immediately before it executes the
/// effect, so that a process that was paused sends nothing stale. A store effect that has expired
/// is dropped and reported as `unavailable`.
struct effect {
    instant not_after{never};
    effect_body body;
};

/// Effects of one reducer step, in execution order.
class effect_buffer {
public:
    void add(effect_body body, instant not_after = never)
    {
        effects_.push_back({not_after, std::move(body)});
    }
    [[nodiscard]] const std::vector<effect>& effects() const { return effects_; }
    [[nodiscard]] std::vector<effect> take() { return std::exchange(effects_, {}); }

private:
    std::vector<effect> effects_;
};

} // namespace cuminmoor
