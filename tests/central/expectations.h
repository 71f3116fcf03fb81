/// \file
/// Helpers shared by the tests in the virtual world.
#pragma once

#include <cstdint>
#include <string>

#include <criterion/criterion.h>
#include <criterion/logging.h>

#include "central_world.h"

namespace cuminmoor::central::test {

/// Time for the first claim of the lease and the first reports of the runners.
inline constexpr millis warm_up{1'000};
/// Users miss a service task that has had no run for this long, and no fault for `calm_time`.
inline constexpr millis missed_after{9'000};
inline constexpr millis calm_time{7'000};

/// \return the id of the n-th job, padded to the length of job ids.
inline std::string id_of(std::uint64_t n)
{
    const std::string text = std::to_string(n);
    return std::string(16 - text.size(), '0') + text;
}

/// Logs the violations that the world recorded and fails if there are any.
inline void expect_no_violation(const central_world& w)
{
    for (const std::string& v : w.violations()) {
        cr_log_error("%s", v.c_str());
    }
    cr_assert(w.violations().empty());
}

} // namespace cuminmoor::central::test
