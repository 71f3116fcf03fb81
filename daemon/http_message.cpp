/// \file
/// Look-up of headers.
#include "http_message.h"

#include <algorithm>
#include <cctype>

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

} // namespace

const std::string* find_header(const std::vector<http_header>& headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const http_header& h) {
        return equal_ignoring_case(h.name, name);
    });
    return found == headers.end() ? nullptr : &found->value;
}

} // namespace cuminmoor::io
