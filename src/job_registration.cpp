/// \file
/// Keys and JSON encoding of job registrations.
#include "job_registration.h"

#include "cuminmoor/json_reader.h"

namespace cuminmoor {

std::string registration_key(const job_id& job)
{
    return registration_prefix(job.value);
}

std::string registration_prefix(const std::string& id_prefix)
{
    return "submission/" + id_prefix;
}

std::string encode_registration(const job_registration& registration)
{
    return dump_json({{"failure_domain", registration.failure_domain.value},
                      {"submission", encode_inbox_job(registration.submission)}});
}

absl::StatusOr<job_registration> decode_registration(const std::string& text)
{
    const auto value = parse_json(text, "registration row");
    if (!value.ok()) {
        return value.status();
    }
    job_registration registration;
    std::string submission;
    json_reader reader{*value, "registration row"};
    reader.name("failure_domain", registration.failure_domain.value);
    reader.optional_text("submission", submission, max_registration_bytes);
    if (auto fault = reader.finish_lenient(); !fault.ok()) {
        return fault;
    }
    auto decoded = decode_inbox_job(submission);
    if (!decoded.ok()) {
        return decoded.status();
    }
    registration.submission = *std::move(decoded);
    return registration;
}

} // namespace cuminmoor
