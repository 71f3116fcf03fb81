/// \file
/// Percent-encoding of parts of a request's target.
#include "url.h"

#include <charconv>

namespace cuminmoor::io {

namespace {

constexpr std::string_view plain =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/";
constexpr std::string_view digits = "0123456789ABCDEF";
constexpr int hexadecimal{16};

} // namespace

std::string escape_path(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (plain.find(c) != std::string_view::npos) {
            escaped += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        escaped += {'%', digits[byte / digits.size()], digits[byte % digits.size()]};
    }
    return escaped;
}

std::optional<std::string> unescape_path(std::string_view text)
{
    std::string plain_text;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            plain_text += text[i];
            continue;
        }
        const std::string_view pair = text.substr(i + 1, 2);
        unsigned char byte{0};
        const auto [stop, error] =
            std::from_chars(pair.data(), pair.data() + pair.size(), byte, hexadecimal);
        if (pair.size() != 2 || error != std::errc{} || stop != pair.data() + pair.size()) {
            return std::nullopt;
        }
        plain_text += static_cast<char>(byte);
        i += pair.size();
    }
    return plain_text;
}

} // namespace cuminmoor::io
