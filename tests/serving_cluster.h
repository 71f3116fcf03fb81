/// \file
/// A cluster that serves requests, and checks of what its callers are told.
#pragma once

#include <string>

#include <criterion/criterion.h>

#include "cuminmoor/result.h"
#include "process_harness.h"

namespace process_test {

inline constexpr int request_count = 20;

/// A cluster that serves requests through its first entry VM.
struct serving_cluster {
    cluster c;

    explicit serving_cluster(const std::string& name) : c{{.name = name}}
    {
        cr_assert(c.create_service());
        cr_assert(c.serves_requests(0));
    }
};

inline bool says_not_run(int code)
{
    return code >= 100 &&
           cuminmoor::is_certainly_not_run(static_cast<cuminmoor::result_code>(code));
}

/// Sends requests while the fault is in force and checks that every outcome is true.
/// \return number that were answered.
inline int check_outcomes(cluster& c, const std::string& fault, bool idempotent)
{
    int answered = 0;
    for (int i = 0; i < request_count; ++i) {
        const caller_request request{"desk", fault + std::to_string(i), "quote", idempotent,
                                     milliseconds{2'000}};
        const auto result = c.send_request(0, request);
        const auto code = code_of(result);
        const auto runs = c.runs()["desk/" + request.id];
        cr_assert(code >= 0, "no whole answer from the entry VM");
        cr_assert(code != 0 || body_of(result) == echo_of(request), "not its own answer");
        cr_assert(!says_not_run(code) || runs == 0, "code %d, but it ran", code);
        cr_assert(idempotent || runs <= 1, "%s ran %ld times", request.id.c_str(),
                  static_cast<long>(runs));
        answered += code == 0 ? 1 : 0;
    }
    return answered;
}

} // namespace process_test
