/// \file
/// Lease of the scheduler of a failure domain.
///
/// The row `fd/<failure domain>/lease` carries holder, epoch and the index of the last commit.
/// Every scheduler transaction writes the row, with the last version it read as precondition. This
/// one write renews the lease, assigns the commit its index and fences off all other writers. An
/// observer acquires the lease when the row has not changed for `config::lease_length` on the
/// observer's own clock.
#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "cuminmoor/clock.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/store.h"

namespace cuminmoor {

/// Content of the lease row.
struct lease_row {
    vm_id holder;
    lease_epoch epoch;
    log_index last;
    nonce written_by;
    /// Set by a holder that gives up the lease; any observer may acquire it immediately.
    bool released{false};
};

std::string lease_key(const failure_domain_id& fd);
std::string encode_lease(const lease_row& lease);
absl::StatusOr<lease_row> decode_lease(const std::string& text);

enum class lease_role : std::uint8_t { observer, acquiring, holder };

struct lease_state {
    lease_role role{lease_role::observer};
    /// The row as last read or written, and its version; 0 if no row was ever read.
    lease_row seen;
    row_version seen_version{0};
    /// When `seen_version` was first seen by this process.
    instant unchanged_since;
    bool has_read{false};
    /// Time of the last successful read of the row.
    instant read_at;
    instant next_poll;
    /// Token number of the read in flight; 0 if there is none.
    std::uint64_t read_token{0};
    /// Holder only: end of the lease, counted from a time before the renewal was sent.
    instant valid_until;
};

} // namespace cuminmoor
