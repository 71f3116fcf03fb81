/// \file
/// The core's interface to the platform's table service and object store: rows, transactions,
/// effects and their response events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cuminmoor/clock.h"

namespace cuminmoor {

/// Version of a row: the table's revision at the row's last write, 0 if the row does not exist.
using row_version = std::uint64_t;

struct row {
    std::string key;
    std::string value;
    row_version version{0};
};

/// Requires that the row has exactly this version when the transaction is applied; 0 requires that
/// the row does not exist.
struct precondition {
    std::string key;
    row_version version{0};
};

/// Writes `value`, or deletes the row if `value` is not set.
struct row_write {
    std::string key;
    std::optional<std::string> value;
};

/// Preconditions and writes that are applied atomically.
struct transaction {
    std::vector<precondition> preconditions;
    std::vector<row_write> writes;
};

/// Outcome of a transaction as far as the sender knows it.
enum class store_outcome : std::uint8_t {
    ok,
    /// A precondition did not hold; this attempt wrote nothing.
    conflict,
    /// Certainly not applied: this process never sent it, or the store rejected it.
    unavailable,
    /// Certainly not applied, and the store will reject it again, for example because it is too
    /// large. Only under central scheduling.
    invalid,
    /// May have been applied already, may still be applied, or may never be.
    unknown,
};

/// The part of the core that issued a store effect; its handler processes the response.
enum class store_user : std::uint8_t { configuration, lease, scheduler, requests, commands };

/// Matches a response event to the effect that caused it.
struct store_token {
    store_user user{store_user::commands};
    std::uint64_t number{0};

    auto operator<=>(const store_token&) const = default;
};

/// Effect: apply a transaction.
struct store_commit {
    store_token token;
    transaction body;
};

/// Key range: at most `limit` rows whose keys begin with `prefix` and do not sort before `from`.
struct key_range {
    std::string prefix;
    std::string from;
    std::size_t limit{1'000};
};

/// Effect: read individual rows and key ranges in one round trip.
struct store_read {
    store_token token;
    std::vector<std::string> keys;
    std::vector<key_range> ranges;
};

/// Effect: write an object, replacing all of its content.
struct object_put {
    store_token token;
    std::string key;
    std::string body;
};

/// Effect: read an object.
struct object_get {
    store_token token;
    std::string key;
};

/// Event: response to `store_commit`.
struct store_committed {
    store_token token;
    store_outcome outcome{store_outcome::unknown};
    /// Version of every row that the transaction wrote; valid only if `outcome` is ok.
    row_version revision{0};
};

/// Event: response to `store_read`.
struct store_read_done {
    store_token token;
    bool ok{false};
    /// When the read was sent; the rows are at least as recent.
    instant sent_at;
    /// The rows that exist, in key order.
    std::vector<row> rows;
};

/// Event: response to `object_put` or `object_get`.
struct object_done {
    store_token token;
    bool ok{false};
    /// Set if a successful `object_get` found the object.
    std::optional<std::string> body;
};

} // namespace cuminmoor
