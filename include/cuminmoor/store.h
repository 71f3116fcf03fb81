/// \file
/// The platform's table service as the core sees it: rows, transactions, typed answers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cuminmoor/clock.h"

namespace cuminmoor {

/// Version of a row; the table's revision at its last write, 0 when the row is absent.
using row_version = std::uint64_t;

struct row {
    std::string key;
    std::string value;
    row_version version{0};
};

/// The row must have exactly this version when the transaction is applied; 0: must be absent.
struct precondition {
    std::string key;
    row_version version{0};
};

/// Writes `value`, or deletes the row when there is none.
struct row_write {
    std::string key;
    std::optional<std::string> value;
};

/// Applied whole or not at all.
struct transaction {
    std::vector<precondition> preconditions;
    std::vector<row_write> writes;
};

/// What the sender knows about a transaction afterwards.
enum class store_outcome : std::uint8_t {
    ok,
    /// A precondition did not hold; nothing was written by this attempt.
    conflict,
    /// Certainly not applied: it never left this process, or the store refused it.
    unavailable,
    /// May or may not have been applied, now or later.
    unknown,
};

/// Which part of the core asked; its handler gets the answer.
enum class store_user : std::uint8_t { configuration, lease, scheduler, requests, commands };

/// Ties an answer to its question.
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

/// One range of keys: all that begin with `prefix` and are not before `from`; at most `limit` rows.
struct key_range {
    std::string prefix;
    std::string from;
    std::size_t limit{1'000};
};

/// Effect: read single rows and ranges in one round trip.
struct store_read {
    store_token token;
    std::vector<std::string> keys;
    std::vector<key_range> ranges;
};

/// Effect: put an object, whole.
struct object_put {
    store_token token;
    std::string key;
    std::string body;
};

/// Effect: get an object.
struct object_get {
    store_token token;
    std::string key;
};

/// Event: answer to `store_commit`.
struct store_committed {
    store_token token;
    store_outcome outcome{store_outcome::unknown};
    /// Version of every row written; valid when `outcome` is ok.
    row_version revision{0};
};

/// Event: answer to `store_read`.
struct store_read_done {
    store_token token;
    bool ok{false};
    /// When the question was sent; what was read is at least as new.
    instant sent_at;
    /// Only rows that exist, in key order.
    std::vector<row> rows;
};

/// Event: answer to `object_put` and `object_get`.
struct object_done {
    store_token token;
    bool ok{false};
    /// Set for a successful `object_get` of an object that exists.
    std::optional<std::string> body;
};

} // namespace cuminmoor
