/// \file
/// Row `submission/<job>`: ensures that job ids are unique and records the failure domain to which
/// the job was sent.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/inbox.h"

namespace cuminmoor {

struct job_registration {
    /// Failure domain whose inbox received the submission.
    failure_domain_id failure_domain;
    inbox_job submission;
};

/// Maximum encoded length of the submission in a registration row, in bytes.
inline constexpr std::size_t max_registration_bytes = std::size_t{1} << 16U;

std::string registration_key(const job_id& job);
/// \return the prefix of the registration keys of all jobs whose id begins with `id_prefix`.
std::string registration_prefix(const std::string& id_prefix);
std::string encode_registration(const job_registration& registration);
absl::StatusOr<job_registration> decode_registration(const std::string& text);

} // namespace cuminmoor
