/// \file
/// Token bucket that keeps retries to a share of the first dispatches.
#pragma once

#include <algorithm>
#include <cstdint>

#include "cuminmoor/config.h"

namespace cuminmoor {

/// Retries of one service. Without a budget an outage would multiply the load by the number of
/// retries just when capacity is short.
class retry_budget {
public:
    /// Counts a first dispatch.
    void deposit() { tokens_ = std::min(tokens_ + config::retry_budget_permille, cap); }
    /// \return false when no retry is left; otherwise one is taken.
    bool try_withdraw()
    {
        if (tokens_ < token) {
            return false;
        }
        tokens_ -= token;
        return true;
    }

private:
    /// One retry, in thousandths.
    static constexpr std::int64_t token{1'000};
    static constexpr std::int64_t cap{config::retry_budget_cap * token};

    /// In [0, cap].
    std::int64_t tokens_{cap};
};

} // namespace cuminmoor
