/// \file
/// The core's one entry point: events in, effects out.
#pragma once

#include <vector>

#include "cuminmoor/effect.h"
#include "cuminmoor/event.h"
#include "cuminmoor/policy.h"
#include "cuminmoor/state.h"

namespace cuminmoor {

/// Decides. Holds no state of its own, does no I/O, reads no clock.
class reducer {
public:
    /// \param policies must outlive the reducer.
    explicit reducer(const policy_set& policies) : policies_{policies} {}

    /// Handles one event.
    /// \param s changed in place.
    /// \param now the driver's clock; never goes back between calls.
    /// \return effects to execute in order.
    [[nodiscard]] std::vector<effect> step(state& s, const event& e, instant now) const;

private:
    const policy_set& policies_;
};

} // namespace cuminmoor
