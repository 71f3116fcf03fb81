/// \file
/// Reads requests from a stream of bytes with http_parser, within limits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <http_parser.h>

#include "http_message.h"

namespace cuminmoor::io {

enum class parse_outcome : std::uint8_t {
    needs_more,
    complete,
    head_too_large,
    body_too_large,
    malformed
};

struct parser_limits {
    /// Target and fields together.
    std::size_t max_head_bytes{0};
    std::size_t max_body_bytes{0};
};

/// Reads one request after the other. After any outcome but the first two it reads no more.
class http_request_parser {
public:
    explicit http_request_parser(parser_limits limits);
    ~http_request_parser() = default;
    http_request_parser(const http_request_parser&) = delete;
    http_request_parser& operator=(const http_request_parser&) = delete;
    http_request_parser(http_request_parser&&) = delete;
    http_request_parser& operator=(http_request_parser&&) = delete;

    /// Reads from the front of `input`, which must not be empty, and removes what was read. Stops
    /// after a whole request.
    parse_outcome consume(std::string_view& input);
    /// After `complete`: \return the request, without its connection and query.
    http_request take();

    /// Nothing of the next request has arrived.
    [[nodiscard]] bool is_idle() const { return !has_begun_; }
    [[nodiscard]] bool has_head() const { return has_head_; }
    /// The last whole request allows further ones.
    [[nodiscard]] bool keeps_alive() const { return keeps_alive_; }
    /// Memory that the next request takes so far.
    [[nodiscard]] std::size_t held_bytes() const;

private:
    static http_request_parser& self(http_parser* parser);
    static int on_message_begin(http_parser* parser);
    static int on_url(http_parser* parser, const char* at, std::size_t length);
    static int on_header_field(http_parser* parser, const char* at, std::size_t length);
    static int on_header_value(http_parser* parser, const char* at, std::size_t length);
    static int on_headers_complete(http_parser* parser);
    static int on_body(http_parser* parser, const char* at, std::size_t length);
    static int on_message_complete(http_parser* parser);

    /// \return what a callback returns: 0, or an error when the head is too large.
    int count_head(std::size_t bytes);
    int fail(parse_outcome why);
    void reset();

    parser_limits limits_;
    http_parser parser_{};
    http_parser_settings settings_{};
    std::string target_;
    /// Name and value of each field, each ended by a line feed: a field that is an object of its
    /// own takes many times its size.
    std::string fields_;
    std::string body_;
    std::size_t head_bytes_{0};
    bool in_value_{false};
    bool has_begun_{false};
    bool has_head_{false};
    bool is_complete_{false};
    bool keeps_alive_{true};
    std::optional<parse_outcome> failure_;
};

} // namespace cuminmoor::io
