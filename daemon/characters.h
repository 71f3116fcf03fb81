/// \file
/// Kinds of characters in text that others choose.
#pragma once

namespace cuminmoor::io {

/// \return true for an ASCII control character, in any locale.
constexpr bool is_control(char c)
{
    constexpr char delete_character{'\x7f'};
    return static_cast<unsigned char>(c) < ' ' || c == delete_character;
}

} // namespace cuminmoor::io
