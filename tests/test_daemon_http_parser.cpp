/// \file
/// The parser of requests: limits, and streams that arrive in pieces.
#include <criterion/criterion.h>

#include <random>
#include <string>
#include <vector>

#include "http_request_parser.h"

namespace io = cuminmoor::io;
using io::parse_outcome;

namespace {

constexpr io::parser_limits limits{1'000, 100};
const std::string start_line{"POST /q/1?x=2 HTTP/1.1\r\n"};

parse_outcome parse(const std::string& text)
{
    io::http_request_parser parser{limits};
    std::string_view rest{text};
    return parser.consume(rest);
}

/// \return the requests of a stream that arrives in pieces of random sizes.
std::vector<io::http_request> read_in_pieces(const std::string& stream, std::uint64_t seed)
{
    constexpr std::uint64_t most_bytes{20};
    std::mt19937_64 random{seed};
    std::vector<io::http_request> requests;
    io::http_request_parser parser{limits};
    for (std::size_t at{0}; at < stream.size();) {
        const std::size_t bytes = 1 + random() % most_bytes;
        std::string_view piece = std::string_view{stream}.substr(at, bytes);
        at += piece.size();
        while (!piece.empty()) {
            const parse_outcome outcome = parser.consume(piece);
            cr_assert(outcome == parse_outcome::needs_more || outcome == parse_outcome::complete);
            if (outcome == parse_outcome::complete) {
                requests.push_back(parser.take());
            }
        }
    }
    return requests;
}

} // namespace

Test(http_request_parser, stream_is_the_same_in_all_pieces)
{
    const std::string stream = start_line + "Host: a\r\nEmpty:\r\nContent-Length: 5\r\n\r\nhello" +
                               start_line + "Transfer-Encoding: chunked\r\n\r\n" +
                               "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n" +
                               "GET /r HTTP/1.1\r\n\r\n";
    for (std::uint64_t seed{1}; seed <= 200; ++seed) {
        const auto requests = read_in_pieces(stream, seed);
        cr_assert_eq(requests.size(), 3);
        cr_assert_eq(requests[0].path, "/q/1");
        cr_assert_eq(requests[0].headers.size(), 3);
        cr_assert_eq(*io::find_header(requests[0].headers, "host"), "a");
        cr_assert_eq(*io::find_header(requests[0].headers, "empty"), "");
        cr_assert_eq(*requests[0].body, "hello");
        cr_assert_eq(requests[1].headers.size(), 1);
        cr_assert_eq(*requests[1].body, "abcde");
        cr_assert_eq(requests[2].method, "GET");
    }
}

Test(http_request_parser, holds_nothing_between_requests)
{
    io::http_request_parser parser{{1'000, 1'000}};
    cr_assert_eq(parser.held_bytes(), 0);
    const std::string text = start_line + "Content-Length: 500\r\n\r\n" + std::string(500, 'x');
    std::string_view rest{text};
    cr_assert(parser.consume(rest) == parse_outcome::complete);
    cr_assert_geq(parser.held_bytes(), 500);
    (void)parser.take();
    cr_assert_eq(parser.held_bytes(), 0);
}

Test(http_request_parser, head_is_limited_as_a_whole)
{
    std::string fields;
    while (fields.size() < 900) {
        fields += "a:b\r\n";
    }
    cr_assert(parse(start_line + fields + "\r\n") == parse_outcome::complete);
    cr_assert(parse(start_line + fields + fields) == parse_outcome::head_too_large);
    cr_assert(parse(start_line + "a: " + std::string(1'000, 'x')) == parse_outcome::head_too_large);
    cr_assert(parse("GET /" + std::string(1'000, 'x')) == parse_outcome::head_too_large);
}

Test(http_request_parser, body_is_limited_with_and_without_a_length)
{
    cr_assert(parse(start_line + "Content-Length: 101\r\n\r\n") == parse_outcome::body_too_large);
    const std::string chunk = "33\r\n" + std::string(0x33, 'x') + "\r\n";
    cr_assert(parse(start_line + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk) ==
              parse_outcome::body_too_large);
}

Test(http_request_parser, other_text_is_malformed)
{
    cr_assert(parse("hello there\r\n\r\n") == parse_outcome::malformed);
    cr_assert(parse("CONNECT a:1 HTTP/1.1\r\n\r\n") == parse_outcome::malformed);
}
