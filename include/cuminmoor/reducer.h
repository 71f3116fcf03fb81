/// \file
/// The single entry point of the core: takes events and returns effects.
#pragma once

#include <vector>

#include "cuminmoor/effect.h"
#include "cuminmoor/event.h"
#include "cuminmoor/policy.h"
#include "cuminmoor/state.h"

namespace cuminmoor {

/// Computes the state change and the effects of each event. It has no state of its own, does no
/// I/O and reads no clock.
class reducer {
public:
    /// \param policies must outlive the reducer.
    explicit reducer(const policy_set& policies) : policies_{policies} {}

    /// Handles one event.
    /// \param s state, updated in place.
    /// \param now the driver's clock; must not decrease between calls.
    /// \return effects, in execution order.
    [[nodiscard]] std::vector<effect> step(state& s, const event& e, instant now) const;

private:
    const policy_set& policies_;
};

} // namespace cuminmoor
