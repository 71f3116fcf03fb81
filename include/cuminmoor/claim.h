/// \file
/// The claim row of a non-idempotent request: the attempt that may run it, and the stored answer.
///
/// Only the attempt that committed the row with its nonce may dispatch the request, and only once.
/// No other attempt takes over, even if the claimant has failed: a request that may have run is
/// never run again.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "cuminmoor/ids.h"

namespace cuminmoor {

enum class claim_status : std::uint8_t {
    /// Claimed; the request may be running.
    open,
    /// The request ran, and the row holds its complete answer.
    done,
    /// The request ran, but its answer exceeded the storage limit.
    answer_too_large,
    /// The request may have run; no answer will arrive.
    unknown,
};

/// Content of a claim row.
struct claim_record {
    /// Identifies the attempt that holds the claim.
    nonce written_by;
    service_id service;
    /// Hash of the request body. A repeat with a different body counts as a different request.
    std::uint64_t body_hash{0};
    claim_status status{claim_status::open};
    /// The backend server's status and body; valid when `status` is `done`.
    int http_status{0};
    std::string body;
};

/// \return the row key. Names are escaped, so that `/` in caller or request ids causes no
/// collision.
std::string claim_key(const caller_id& caller, const request_id& request);

/// \return hash of a request body, identical in every process.
std::uint64_t hash_body(std::string_view body);

std::string encode_claim(const claim_record& record);
/// \return the record, or an error that names the invalid field.
absl::StatusOr<claim_record> decode_claim(const std::string& text);

} // namespace cuminmoor
