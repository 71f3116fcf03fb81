/// \file
/// Hash functions with the same result in every process, so that entry VMs reach the same decisions
/// independently.
#pragma once

#include <cstdint>
#include <string_view>

namespace cuminmoor {

/// SplitMix64 finalizer: every bit of `z` affects all bits of the result.
constexpr std::uint64_t mix_bits(std::uint64_t z)
{
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
}

/// \return a hash that combines `a` and `b`; the order matters.
constexpr std::uint64_t combine_hashes(std::uint64_t a, std::uint64_t b)
{
    return mix_bits(a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6U) + (a >> 2U)));
}

/// 64-bit FNV-1a followed by `mix_bits`.
constexpr std::uint64_t stable_hash(std::string_view text)
{
    std::uint64_t h = 0xcbf29ce484222325ULL;
    for (const char ch : text) {
        h = (h ^ static_cast<unsigned char>(ch)) * 0x100000001b3ULL;
    }
    return mix_bits(h);
}

} // namespace cuminmoor
