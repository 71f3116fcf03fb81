/// \file
/// Numeric result codes, documented for users in docs/RESULT_CODES.md.
#pragma once

#include <cstdint>
#include <string_view>

namespace cuminmoor {

/// 1xx: invalid input. 2xx: refused and certainly not run. 3xx: unknown outcome. 4xx: conflict with
/// another writer. 5xx: internal error.
enum class result_code : std::uint16_t {
    ok = 0,
    malformed = 100,
    unknown_field = 101,
    too_large = 102,
    out_of_range = 103,
    duplicate_id = 104,
    unknown_service = 105,
    unknown_job = 106,
    unknown_preset = 107,
    unknown_failure_domain = 108,
    missing_field = 109,
    unknown_route = 110,
    deadline_unreachable = 200,
    queue_full = 201,
    no_backend_server = 202,
    shutting_down = 203,
    store_unavailable = 204,
    failure_domain_out = 205,
    quota_exceeded = 206,
    retry_budget_exhausted = 207,
    caller_over_share = 208,
    not_run_after_retries = 209,
    outcome_unknown = 300,
    claimed_outcome_unknown = 301,
    version_conflict = 400,
    already_exists = 401,
    internal = 500,
};

/// \return the code's documented name, e.g. "queue_full".
std::string_view name_of(result_code code);

/// \return the HTTP status that carries the code.
int http_status_of(result_code code);

/// \return true if the code guarantees that nothing was run.
constexpr bool is_certainly_not_run(result_code code)
{
    const auto number = static_cast<std::uint16_t>(code);
    return number >= 100 && number < 300;
}

} // namespace cuminmoor
