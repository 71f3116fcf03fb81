/// \file
/// Loading of containers from data that may be malformed. cereal allocates as many elements as the
/// data claims to hold; these functions allocate no more than the data really holds.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

// cereal prefers these overloads to its own, as they name the archive.
namespace cereal {

template <typename T, typename Allocator>
void load(PortableBinaryInputArchive& archive, std::vector<T, Allocator>& elements)
{
    size_type count{0};
    archive(make_size_tag(count));
    elements.clear();
    for (size_type i{0}; i < count; ++i) {
        T element{};
        archive(element);
        elements.push_back(std::move(element));
    }
}

inline void load(PortableBinaryInputArchive& archive, std::string& text)
{
    constexpr size_type max_chunk_bytes{4'096};
    size_type count{0};
    archive(make_size_tag(count));
    text.clear();
    while (text.size() < count) {
        const std::size_t begin = text.size();
        const size_type chunk = std::min<size_type>(count - begin, max_chunk_bytes);
        text.resize(begin + chunk);
        archive(binary_data(text.data() + begin, chunk));
    }
}

} // namespace cereal
