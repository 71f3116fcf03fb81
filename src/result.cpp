/// \file
/// Names and HTTP statuses of result codes.
#include "cuminmoor/result.h"

namespace cuminmoor {

namespace {

struct code_row {
    std::string_view name;
    int http_status;
};

/// Without a default: a code without a row does not compile. A number that is no code, e.g.
/// received from another version, counts as internal.
code_row row_of(result_code code)
{
    switch (code) {
    case result_code::ok:
        return {"ok", 200};
    case result_code::malformed:
        return {"malformed", 400};
    case result_code::unknown_field:
        return {"unknown_field", 400};
    case result_code::too_large:
        return {"too_large", 413};
    case result_code::out_of_range:
        return {"out_of_range", 400};
    case result_code::duplicate_id:
        return {"duplicate_id", 409};
    case result_code::unknown_service:
        return {"unknown_service", 404};
    case result_code::unknown_job:
        return {"unknown_job", 404};
    case result_code::unknown_preset:
        return {"unknown_preset", 400};
    case result_code::unknown_failure_domain:
        return {"unknown_failure_domain", 400};
    case result_code::missing_field:
        return {"missing_field", 400};
    case result_code::unknown_route:
        return {"unknown_route", 404};
    case result_code::deadline_unreachable:
        return {"deadline_unreachable", 503};
    case result_code::queue_full:
        return {"queue_full", 503};
    case result_code::no_backend_server:
        return {"no_backend_server", 503};
    case result_code::shutting_down:
        return {"shutting_down", 503};
    case result_code::store_unavailable:
        return {"store_unavailable", 503};
    case result_code::failure_domain_out:
        return {"failure_domain_out", 503};
    case result_code::quota_exceeded:
        return {"quota_exceeded", 429};
    case result_code::retry_budget_exhausted:
        return {"retry_budget_exhausted", 503};
    case result_code::caller_over_share:
        return {"caller_over_share", 429};
    case result_code::not_run_after_retries:
        return {"not_run_after_retries", 503};
    case result_code::outcome_unknown:
        return {"outcome_unknown", 504};
    case result_code::claimed_outcome_unknown:
        return {"claimed_outcome_unknown", 504};
    case result_code::version_conflict:
        return {"version_conflict", 409};
    case result_code::already_exists:
        return {"already_exists", 409};
    case result_code::internal:
        break;
    }
    return {"internal", 500};
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
