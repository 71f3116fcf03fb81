/// \file
/// Streams of requests: however a stream is split, the same requests are read from it, and no more
/// is held than the limits allow.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "http_request_parser.h"

namespace io = cuminmoor::io;

namespace {

constexpr io::parser_limits limits{500, 300};
/// Strings grow to twice their size.
constexpr std::size_t most_held{2 * (limits.max_head_bytes + 2 * limits.max_body_bytes)};

/// Reads a stream in pieces of 1 to `most_bytes`, drawn by `seed`.
/// \return methods, paths and bodies of all requests, and how it ended.
std::string read(std::string_view stream, std::size_t most_bytes, unsigned seed)
{
    io::http_request_parser parser{limits};
    std::string seen;
    auto outcome = io::parse_outcome::needs_more;
    while (!stream.empty()) {
        constexpr unsigned factor{1'103'515'245};
        constexpr unsigned shift{16};
        seed = seed * factor + 1;
        std::string_view piece = stream.substr(0, 1 + (seed >> shift) % most_bytes);
        stream.remove_prefix(piece.size());
        while (!piece.empty()) {
            outcome = parser.consume(piece);
            if (parser.held_bytes() > most_held) {
                std::abort();
            }
            if (outcome == io::parse_outcome::complete) {
                const io::http_request request = parser.take();
                seen += request.method + " " + request.path + " " + *request.body + "\n";
            }
            else if (outcome != io::parse_outcome::needs_more) {
                return seen + "refused";
            }
        }
    }
    return seen;
}

} // namespace

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view stream{reinterpret_cast<const char*>(data) + 1, size - 1};
    constexpr std::size_t small_piece{7};
    const std::string whole = read(stream, std::max<std::size_t>(1, stream.size()), 0);
    if (read(stream, 1, 0) != read(stream, small_piece, data[0])) {
        std::abort();
    }
    if (read(stream, 1, 0) != whole) {
        std::abort();
    }
    return 0;
}
