/// \file
/// Decides how much the clients of a process may hold, and which connection gives way.
///
/// The load: very many connections that hold bodies, heads or unread answers, and stop. Each
/// listener has a share of its own, so that a crowd at one leaves the others alone.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "cuminmoor/clock.h"
#include "http_message.h"

namespace cuminmoor::io {

/// Addresses that a process listens at.
enum class listener : std::uint8_t { callers, readiness, peers };
inline constexpr std::size_t listener_count{3};

/// Limits that a client can meet.
enum class client_limit : std::uint8_t { connections, memory, head, body, time };
inline constexpr std::size_t client_limit_count{5};

const char* name_of(client_limit limit);

struct budget_limits {
    std::size_t max_bytes{0};
    std::size_t max_connections{0};
};

/// \param memory_bytes memory of the process.
/// \param max_descriptors descriptors that the process may open.
budget_limits derive_limits(std::size_t memory_bytes, std::size_t max_descriptors);

/// What the clients of all listeners hold. Not thread-safe.
class connection_budget {
public:
    explicit connection_budget(budget_limits limits) : limits_{limits} {}

    /// \return a number that no other connection of the process has.
    connection_number add(listener at, instant now);
    void remove(connection_number connection);
    /// Sets the bytes that a connection holds: what has arrived of its next request, and answers
    /// that it has not read.
    void set_held(connection_number connection, std::size_t bytes);
    /// The connection has sent or read a useful amount.
    void record_progress(connection_number connection, instant now);
    /// Its client waits for an answer of this process and holds nothing else.
    void set_awaits_answer(connection_number connection, bool awaits);
    /// Its client is known to be one of our VMs.
    void trust(connection_number connection);

    /// Holds the bytes of a call until the returned object is destroyed, also when the call's
    /// connection is closed before. The budget must outlive it.
    [[nodiscard]] std::shared_ptr<const void> hold_call(listener at, std::size_t bytes);

    [[nodiscard]] bool is_overspent(listener at) const;
    [[nodiscard]] bool has_place(listener at) const;
    /// \return the connection to close first: of those that await no answer the one that holds
    /// most for longest without progress, and trusted ones after the others. Nothing when there is
    /// none.
    [[nodiscard]] std::optional<connection_number> first_to_close(listener at, instant now) const;

    void count_refusal(client_limit limit) { ++refusals_[static_cast<std::size_t>(limit)]; }
    [[nodiscard]] std::uint64_t refusals(client_limit limit) const
    {
        return refusals_[static_cast<std::size_t>(limit)];
    }
    [[nodiscard]] std::size_t held_bytes() const;
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }
    [[nodiscard]] const budget_limits& limits() const { return limits_; }

private:
    struct connection_use {
        listener at{listener::callers};
        std::size_t bytes{0};
        instant progress_at;
        bool awaits_answer{false};
        bool is_trusted{false};
    };
    struct listener_use {
        /// Of connections and of calls.
        std::size_t bytes{0};
        std::size_t connections{0};
    };

    listener_use& use_of(listener at) { return uses_[static_cast<std::size_t>(at)]; }
    [[nodiscard]] const listener_use& use_of(listener at) const
    {
        return uses_[static_cast<std::size_t>(at)];
    }

    budget_limits limits_;
    connection_number last_number_{0};
    std::map<connection_number, connection_use> connections_;
    /// Sums over `connections_` and the held calls.
    std::array<listener_use, listener_count> uses_{};
    std::array<std::uint64_t, client_limit_count> refusals_{};
};

} // namespace cuminmoor::io
