/// \file
/// Who may call: answers callers whose keys are missing, unknown or taken away, before their bodies
/// cost anything.
#pragma once

#include <string_view>

#include "cuminmoor/central/event.h"
#include "cuminmoor/central/manifest.h"

namespace cuminmoor::central {

/// What a call's address and credential tell, whatever its body is.
struct caller_check {
    /// `accepted`, or why the call is refused.
    call_result result{call_result::unavailable};
    /// Set if the queue exists.
    const queue* found{nullptr};
    /// Whose credential it is; empty: nobody's, or the deployment has no organisations.
    organisation_id organisation;
};

/// Decides by one manifest alone, so that no credential of an earlier one is in force.
caller_check check_caller(const manifest& m, std::string_view host, std::string_view path,
                          const credential& key);

} // namespace cuminmoor::central
