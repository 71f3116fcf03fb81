/// \file
/// Counts and looks up the enumerators of an enum whose values are 0, 1, 2, ... without a gap, by a
/// function that names them: a switch without a default, which returns "" for a value that is no
/// enumerator. An enumerator without a name does not compile.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace cuminmoor {

template <typename Enum>
constexpr std::size_t count_enumerators(const char* (*name_of)(Enum))
{
    std::size_t count{0};
    while (*name_of(static_cast<Enum>(count)) != '\0') {
        ++count;
    }
    return count;
}

/// \return the enumerator with that name, if there is one.
template <typename Enum>
constexpr std::optional<Enum> find_enumerator(std::string_view name, const char* (*name_of)(Enum))
{
    const std::size_t count = count_enumerators(name_of);
    for (std::size_t i = 0; i < count; ++i) {
        const auto value = static_cast<Enum>(i);
        if (name == name_of(value)) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace cuminmoor
