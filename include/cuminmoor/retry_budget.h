/// \file
/// Token bucket that limits retries to a fraction of the first dispatches.
#pragma once

#include <algorithm>
#include <cstdint>

#include "cuminmoor/config.h"

namespace cuminmoor {

/// Retry budget of one service. Without it, retries during an outage would multiply the load while
/// capacity is reduced.
class retry_budget {
public:
    /// Adds the credit for one first dispatch.
    void deposit() { tokens_ = std::min(tokens_ + config::retry_budget_permille, cap); }
    /// Takes one retry from the budget.
    /// \return false if no retry is left.
    bool try_withdraw()
    {
        if (tokens_ < token) {
            return false;
        }
        tokens_ -= token;
        return true;
    }

private:
    /// Cost of one retry, in thousandths.
    static constexpr std::int64_t token{1'000};
    static constexpr std::int64_t cap{config::retry_budget_cap * token};

    /// In [0, cap].
    std::int64_t tokens_{cap};
};

} // namespace cuminmoor
