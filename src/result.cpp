/// \file
/// Names and HTTP statuses of result codes.
#include "cuminmoor/result.h"

#include <algorithm>
#include <array>

namespace cuminmoor {

namespace {

struct code_row {
    result_code code;
    std::string_view name;
    int http_status;
};

constexpr std::array code_table{
    code_row{result_code::ok, "ok", 200},
    code_row{result_code::malformed, "malformed", 400},
    code_row{result_code::unknown_field, "unknown_field", 400},
    code_row{result_code::too_large, "too_large", 413},
    code_row{result_code::out_of_range, "out_of_range", 400},
    code_row{result_code::duplicate_id, "duplicate_id", 409},
    code_row{result_code::unknown_service, "unknown_service", 404},
    code_row{result_code::unknown_job, "unknown_job", 404},
    code_row{result_code::unknown_preset, "unknown_preset", 400},
    code_row{result_code::unknown_failure_domain, "unknown_failure_domain", 400},
    code_row{result_code::missing_field, "missing_field", 400},
    code_row{result_code::unknown_route, "unknown_route", 404},
    code_row{result_code::deadline_unreachable, "deadline_unreachable", 503},
    code_row{result_code::queue_full, "queue_full", 503},
    code_row{result_code::no_backend_server, "no_backend_server", 503},
    code_row{result_code::shutting_down, "shutting_down", 503},
    code_row{result_code::store_unavailable, "store_unavailable", 503},
    code_row{result_code::failure_domain_out, "failure_domain_out", 503},
    code_row{result_code::quota_exceeded, "quota_exceeded", 429},
    code_row{result_code::retry_budget_exhausted, "retry_budget_exhausted", 503},
    code_row{result_code::caller_over_share, "caller_over_share", 429},
    code_row{result_code::not_run_after_retries, "not_run_after_retries", 503},
    code_row{result_code::outcome_unknown, "outcome_unknown", 504},
    code_row{result_code::claimed_outcome_unknown, "claimed_outcome_unknown", 504},
    code_row{result_code::version_conflict, "version_conflict", 409},
    code_row{result_code::already_exists, "already_exists", 409},
    code_row{result_code::internal, "internal", 500},
};

const code_row& row_of(result_code code)
{
    const auto* const found = std::find_if(code_table.begin(), code_table.end(),
                                           [code](const code_row& r) { return r.code == code; });
    return found == code_table.end() ? code_table.back() : *found;
}

} // namespace

std::string_view name_of(result_code code)
{
    return row_of(code).name;
}

int http_status_of(result_code code)
{
    return row_of(code).http_status;
}

} // namespace cuminmoor
