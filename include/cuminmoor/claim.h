/// \file
/// The claim row of a non-idempotent request: who may run it, and the answer kept for repeats.
///
/// Whoever committed the row with its nonce may dispatch the request, once. Nobody else ever does,
/// also when the claimant is gone: a request that may have run is not run again.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "cuminmoor/ids.h"

namespace cuminmoor {

enum class claim_status : std::uint8_t {
    /// Claimed; it may be running.
    open,
    /// It ran, and its whole answer is in the row.
    done,
    /// It ran; its answer was too large to keep.
    answer_too_large,
    /// It may have run; no answer will come any more.
    unknown,
};

/// Content of a claim row.
struct claim_record {
    /// Identifies the attempt that claimed.
    nonce written_by;
    service_id service;
    /// Hash of the request's body; a repeat with another body is a different request.
    std::uint64_t body_hash{0};
    claim_status status{claim_status::open};
    /// The backend server's status and body; valid when `status` is `done`.
    int http_status{0};
    std::string body;
};

/// \return the row's key; callers and requests with `/` in their names do not collide.
std::string claim_key(const caller_id& caller, const request_id& request);

/// \return stable hash of a request's body.
std::uint64_t hash_body(std::string_view body);

std::string encode_claim(const claim_record& record);
/// \return the record, or an error that names the field at fault.
absl::StatusOr<claim_record> decode_claim(const std::string& text);

} // namespace cuminmoor
