/// \file
/// Everything that the core can ask for. Effects are data: a decision fills a buffer with them and
/// the driver executes it.
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

/// Effect: write one line to the log, "event=<name>" and the fields in order.
struct log_event {
    std::string name;
    std::vector<log_field> fields;
};

/// Effect: nothing is left to do; the process may exit.
struct shutdown_complete {};

using effect_body = std::variant<store_commit, store_read, object_put, object_get, vm_list_read,
                                 peer_send, worker_sync, request_dispatch, request_drop_dispatch,
                                 request_answer, command_answer, log_event, shutdown_complete>;

/// One effect. The driver checks `not_after` immediately before it acts, so that a process which
/// was paused sends nothing stale. A store effect dropped for that reason is answered
/// `unavailable`.
struct effect {
    instant not_after{never};
    effect_body body;
};

/// Effects of one decision, in the order in which they are to be executed.
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
