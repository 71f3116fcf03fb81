/// \file
/// One connection of the HTTP server on its owner's loop.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <asio/ip/tcp.hpp>

#include "connection_budget.h"
#include "http_request_parser.h"
#include "http_server.h"

namespace cuminmoor::io {

class loop_http_connection;

/// What the connections of a server share.
struct connection_group {
    http_handler& handler;
    connection_budget& budget;
    clock_source& clock;
    listener at{listener::callers};
    std::map<connection_number, std::shared_ptr<loop_http_connection>> connections{};
    /// Answers that were given and not yet written.
    std::size_t unflushed{0};
    /// Each read of a connection fills it anew.
    std::array<char, 16'384> input{};

    /// Closes the connections that give way until the listener keeps its share of the budget, or
    /// `kept` would be next or none is left.
    /// \return whether the share is kept.
    bool make_room(connection_number kept);
    /// Closes the connection that gives way first.
    /// \return false when there is none, or it is `kept`.
    bool close_first(std::optional<connection_number> kept = std::nullopt);
};

/// Reads requests, at most `max_pipelined_requests` ahead of their answers, and writes the answers
/// in order. Lives as long as an operation on it is under way.
class loop_http_connection : public std::enable_shared_from_this<loop_http_connection> {
public:
    loop_http_connection(asio::ip::tcp::socket socket, connection_group& group,
                         connection_number number);

    /// Begins to read.
    void start() { wait_for_input(); }
    /// Ends what has lasted too long.
    void check_times(instant now);
    /// Closes it for lack of room; says so, if a request is under way and none awaits an answer.
    void give_way();
    /// Closes it; the handler is told.
    void close();
    /// Closes it at the end of the server; nobody is told.
    void abandon();

private:
    struct answer_slot {
        bool is_ready{false};
        /// The connection ends with this answer.
        bool is_last{false};
        /// The request was refused unread.
        bool is_refusal{false};
        std::string head{};
        body_text body{};
        instant requested_at;
    };

    void wait_for_input();
    void read_input();
    void discard(std::size_t bytes);
    void process(std::string_view input);
    /// Passes a whole request to the handler.
    void deliver();
    void refuse(int status, client_limit limit);
    void end_for_lack_of_room();
    void refuse_unread(parse_outcome outcome);
    void answer(std::uint64_t slot, const http_response& response);
    void write_answers();
    void on_written(const asio::error_code& failed, std::size_t answers);
    void end_after_refusal();
    /// Nothing more is expected of the connection.
    [[nodiscard]] bool is_over(instant now) const;
    /// Tells the budget what it holds.
    void update_budget();
    [[nodiscard]] std::size_t held_bytes() const;
    [[nodiscard]] bool is_reading() const;

    asio::ip::tcp::socket socket_;
    connection_group& group_;
    connection_number number_;
    http_request_parser parser_;
    /// Requests without a written answer, in order; the first has the number `first_slot_`.
    std::deque<answer_slot> slots_;
    std::uint64_t first_slot_{0};
    /// Read, not parsed: as many requests wait as may.
    std::string unparsed_;
    /// When the last request was read, or an answer began or ended to be written.
    instant progress_at_;
    /// Of the request that is arriving.
    instant begun_at_;
    std::size_t bytes_since_progress_{0};
    /// Read while `is_ending_`.
    std::size_t discarded_{0};
    bool is_waiting_{false};
    bool is_writing_{false};
    bool is_closed_{false};
    /// No further request is read; what arrives is discarded.
    bool is_ending_{false};
    /// The client sends no more; only looked at while `is_ending_`.
    bool is_input_over_{false};
    /// A refusal is written, and the client gets time to read it.
    bool is_lingering_{false};
    /// Its client is one of our VMs: its calls are not refused for lack of room.
    bool is_trusted_{false};
};

} // namespace cuminmoor::io
