/// \file
/// Replaces the global allocation functions by counting ones.
#include "allocation_count.h"

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <new>

namespace {

std::int64_t live = 0;

/// Keeps the size in front of each block; as large as the strictest alignment.
constexpr std::size_t header_bytes = alignof(std::max_align_t);

/// \return what the C library's allocator uses for a block of that size.
std::int64_t chunk_bytes(std::size_t size)
{
    constexpr std::size_t granule = 16;
    constexpr std::size_t overhead = 8;
    constexpr std::size_t smallest = 32;
    const std::size_t rounded = (size + overhead + granule - 1) / granule * granule;
    return static_cast<std::int64_t>(std::max(rounded, smallest));
}

void release(void* p) noexcept
{
    if (p == nullptr) {
        return;
    }
    auto* const block = static_cast<std::byte*>(p) - header_bytes;
    live -= chunk_bytes(*reinterpret_cast<std::size_t*>(block));
    std::free(block);
}

} // namespace

void* operator new(std::size_t size)
{
    auto* const block = static_cast<std::byte*>(std::malloc(size + header_bytes));
    if (block == nullptr) {
        std::abort();
    }
    *reinterpret_cast<std::size_t*>(block) = size;
    live += chunk_bytes(size);
    return block + header_bytes;
}

void operator delete(void* p) noexcept
{
    release(p);
}

void operator delete(void* p, std::size_t /*size*/) noexcept
{
    release(p);
}

namespace cuminmoor::bench {

std::int64_t live_bytes()
{
    return live;
}

} // namespace cuminmoor::bench
