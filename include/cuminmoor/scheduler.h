/// \file
/// State of the scheduler of one failure domain: its log, its workers, what it is about to commit.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cuminmoor/clock.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/job.h"
#include "cuminmoor/lease.h"
#include "cuminmoor/worker.h"

namespace cuminmoor {

/// A worker as last heard of. Not durable: rebuilt from reports.
struct worker_state {
    worker_report last;
    /// When the exchange that brought `last` was sent and ended; bounds the worker's clock.
    instant sent_at;
    instant received_at;
    bool has_report{false};
    bool sync_in_flight{false};
    instant next_sync;
    std::uint32_t failed_syncs{0};
};

/// A batch of records on its way into the log.
struct pending_commit {
    std::uint64_t token{0};
    nonce written_by;
    std::vector<ledger_record> records;
    /// Kept whole, so that after an unknown outcome exactly the same can be sent again.
    transaction body;
    instant sent_at;
    instant decided_at;
};

struct scheduler_state {
    lease_state lease;
    ledger book;
    /// True once the log has been read up to the lease row's `last` in this epoch.
    bool recovered{false};
    std::map<vm_id, worker_state> workers;
    /// At most one: the next decision waits until this one is known.
    std::optional<pending_commit> pending;
    std::uint64_t next_token{1};
    std::uint64_t next_nonce{1};
};

} // namespace cuminmoor
