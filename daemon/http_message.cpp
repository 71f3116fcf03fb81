/// \file
/// Look-up of headers, and the characters that a request may hold.
#include "http_message.h"

#include <algorithm>
#include <cctype>

#include "characters.h"

namespace cuminmoor::io {

namespace {

char lower(char c)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

bool is_white_space(char c)
{
    return c == ' ' || c == '\t';
}

} // namespace

const std::string* find_header(const std::vector<http_header>& headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const http_header& h) {
        return equal_ignoring_case(h.name, name);
    });
    return found == headers.end() ? nullptr : &found->value;
}

bool is_header_value(std::string_view text)
{
    if (text.empty() || is_white_space(text.front()) || is_white_space(text.back())) {
        return false;
    }
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return is_control(c) && !is_white_space(c); });
}

bool is_target(std::string_view text)
{
    constexpr char last_visible{'~'};
    const auto is_visible = [](char c) { return c > ' ' && c <= last_visible; };
    return !text.empty() && std::all_of(text.begin(), text.end(), is_visible);
}

} // namespace cuminmoor::io
