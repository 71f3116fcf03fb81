/// \file
/// Implementation of the budget of connections.
#include "connection_budget.h"

#include <algorithm>
#include <utility>

namespace cuminmoor::io {

namespace {

/// Part of the memory that clients may hold: allocated blocks are up to twice as large as what is
/// in them, and the scheduler's state needs room.
constexpr std::size_t memory_part{4};
/// Files, the store and what else is open in any case.
constexpr std::size_t reserved_descriptors{100};
/// Part of the remaining descriptors that clients may use; the rest is for connections to runners,
/// peers and the store.
constexpr std::size_t descriptor_part{2};
/// Sockets and bookkeeping of a connection that holds nothing.
constexpr std::size_t connection_bytes{2'048};

/// Shares of the listeners, in sixteenths.
constexpr std::size_t share_unit{16};
constexpr std::size_t callers_share{8};
constexpr std::size_t readiness_share{1};
constexpr std::size_t peers_share{7};
static_assert(callers_share + readiness_share + peers_share == share_unit);

std::size_t share_of(listener at, std::size_t whole)
{
    switch (at) {
    case listener::callers:
        return whole * callers_share / share_unit;
    case listener::readiness:
        return whole * readiness_share / share_unit;
    case listener::peers:
        return whole * peers_share / share_unit;
    }
    return 0;
}

} // namespace

const char* name_of(client_limit limit)
{
    switch (limit) {
    case client_limit::connections:
        return "connections";
    case client_limit::memory:
        return "memory";
    case client_limit::head:
        return "head";
    case client_limit::body:
        return "body";
    case client_limit::time:
        return "time";
    }
    return "";
}

budget_limits derive_limits(std::size_t memory_bytes, std::size_t max_descriptors)
{
    const std::size_t free =
        max_descriptors > reserved_descriptors ? max_descriptors - reserved_descriptors : 0;
    return {memory_bytes / memory_part, std::max(share_unit, free / descriptor_part)};
}

connection_number connection_budget::add(listener at, instant now)
{
    const connection_number number{++last_number_};
    connections_.emplace(number, connection_use{at, connection_bytes, now, false, false});
    use_of(at).bytes += connection_bytes;
    ++use_of(at).connections;
    return number;
}

void connection_budget::remove(connection_number connection)
{
    const auto node = connections_.extract(connection);
    if (node.empty()) {
        return;
    }
    listener_use& use = use_of(node.mapped().at);
    use.bytes -= node.mapped().bytes;
    --use.connections;
}

void connection_budget::set_held(connection_number connection, std::size_t bytes)
{
    connection_use& c = connections_.at(connection);
    listener_use& use = use_of(c.at);
    use.bytes -= c.bytes;
    c.bytes = connection_bytes + bytes;
    use.bytes += c.bytes;
}

void connection_budget::record_progress(connection_number connection, instant now)
{
    connections_.at(connection).progress_at = now;
}

void connection_budget::set_awaits_answer(connection_number connection, bool awaits)
{
    connections_.at(connection).awaits_answer = awaits;
}

void connection_budget::trust(connection_number connection)
{
    connections_.at(connection).is_trusted = true;
}

std::shared_ptr<const void> connection_budget::hold_call(listener at, std::size_t bytes)
{
    use_of(at).bytes += bytes;
    return {nullptr, [this, at, bytes](const void*) { use_of(at).bytes -= bytes; }};
}

bool connection_budget::is_overspent(listener at) const
{
    return use_of(at).bytes > share_of(at, limits_.max_bytes);
}

bool connection_budget::has_place(listener at) const
{
    return use_of(at).connections < share_of(at, limits_.max_connections);
}

std::optional<connection_number> connection_budget::first_to_close(listener at, instant now) const
{
    std::optional<connection_number> first;
    std::pair<bool, std::int64_t> first_rank;
    for (const auto& [number, c] : connections_) {
        if (c.at != at || c.awaits_answer) {
            continue;
        }
        const std::int64_t idle_ms = (now - c.progress_at).count + 1;
        const std::pair rank{!c.is_trusted, static_cast<std::int64_t>(c.bytes) * idle_ms};
        if (!first || rank > first_rank) {
            first = number;
            first_rank = rank;
        }
    }
    return first;
}

std::size_t connection_budget::held_bytes() const
{
    std::size_t bytes{0};
    for (const listener_use& use : uses_) {
        bytes += use.bytes;
    }
    return bytes;
}

} // namespace cuminmoor::io
