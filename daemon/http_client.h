/// \file
/// HTTP client: one thread, connections that are kept open, and outcomes that can be relied on.
///
/// The library itself repeats a request when a kept connection turns out to be closed. Here the
/// hook that runs immediately before the bytes go counts the sends and refuses a second one, so a
/// call that is not `resendable` is sent at most once.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cuminmoor/clock.h"
#include "http_message.h"

namespace cuminmoor::io {

struct http_result;

/// Shows which life of the other process a connection leads to: one process may have started again
/// at an address, and nothing else tells a caller.
struct connection_proof {
    /// Path and body of the request that is sent first, by POST. Sending it twice does no harm.
    std::string target;
    body_text body;
    /// The life that the call is meant for.
    std::int64_t life{0};
    /// \return the life that gave this answer; empty: it does not tell.
    std::function<std::optional<std::int64_t>(const http_result&)> life_of;
};

/// One call.
struct http_call {
    std::string method{"GET"};
    /// "a.b.c.d:port".
    std::string address;
    /// Path with its query, already escaped.
    std::string target;
    std::vector<http_header> headers;
    body_text body;
    /// The answer must be whole by then.
    instant deadline;
    /// Nothing is sent after that.
    instant not_after{never};
    std::size_t max_answer_bytes{0};
    /// Sending it twice does no harm.
    bool resendable{false};
    /// Uses a new connection, so that one closed by the other side cannot lose the call.
    bool fresh_connection{false};
    /// Goes before calls that wait for a connection and are not urgent. Only by the client without
    /// a thread, which keeps one connection for such calls to each address that has had one.
    bool is_urgent{false};
    /// Not null: `body` may reach one life of the other process only, the one that has answered 200
    /// to the last call of this kind to the address, so it goes over that connection. If that is
    /// gone, or breaks without a byte of an answer, this goes over another one instead. Only by the
    /// client without a thread, which keeps that connection for such calls.
    body_text unbound_body;
    /// Not null: the call may reach one life of the other process only. A connection that has not
    /// proved that it leads there does so first; if it leads elsewhere, or does not answer, the
    /// call is not sent. Only by the client without a thread.
    std::shared_ptr<const connection_proof> proof;
    /// Adds X-Deadline-Ms, the time left when the bytes go.
    bool sends_deadline{false};
    /// Not empty: the answer must repeat it in X-Request-Id.
    std::string request_id;
};

enum class http_outcome : std::uint8_t {
    /// A whole answer is here.
    answered,
    /// Certainly no byte of the request left this process.
    not_sent,
    /// Sent, at least in part, and no whole answer came. The connection is closed.
    lost,
};

struct http_result {
    http_outcome outcome{http_outcome::lost};
    /// Of a call with a proof that was refused, this and the rest are of the proof's answer.
    int status{0};
    std::vector<http_header> headers;
    std::string body;
    /// When the bytes went, or the call was given up.
    instant sent_at;
    /// When the connection was opened over which they went.
    instant connected_at;
    /// The proof was answered by another life of the process, so the call was not sent.
    bool is_other_life{false};
    /// `http_call::unbound_body` went.
    bool was_unbound{false};
    /// Why there is no answer; for the log.
    std::string error;
};

/// Called once for each call, on the client's thread, unless the call was dropped.
using http_callback = std::function<void(http_result)>;

/// Identifies a call; 0 is none.
using call_number = std::uint64_t;

class http_client {
public:
    http_client() = default;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    virtual ~http_client() = default;

    /// Begins a call; from any thread.
    virtual call_number start(http_call call, http_callback done) = 0;
    /// Gives up a call and closes its connection; its callback may still be under way.
    virtual void drop(call_number call) = 0;
};

/// \param clock must outlive the client. \param connections most connections to one address.
std::unique_ptr<http_client> make_http_client(clock_source& clock, long connections);

} // namespace cuminmoor::io
