/// \file
/// Bytes allocated by operator new and not yet freed, for measuring the size of states.
#pragma once

#include <cstdint>

namespace cuminmoor::bench {

/// \return what all live allocations take, the allocator's overhead included, in bytes.
std::int64_t live_bytes();

/// \return the bytes that a copy of `value` allocates.
template <typename T>
std::int64_t heap_size_of(const T& value)
{
    const std::int64_t before = live_bytes();
    const T copy{value}; // NOLINT(performance-unnecessary-copy-initialization)
    return live_bytes() - before;
}

} // namespace cuminmoor::bench
