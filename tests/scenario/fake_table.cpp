/// \file
/// In-memory fake of the platform's table and object store.
#include "fake_table.h"

namespace cuminmoor::scenario {

row_version fake_table::version_of(const std::string& key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? 0 : found->second.version;
}

std::optional<row_version> fake_table::commit(const transaction& t)
{
    for (const auto& p : t.preconditions) {
        if (version_of(p.key) != p.version) {
            return std::nullopt;
        }
    }
    ++revision_;
    for (const auto& w : t.writes) {
        if (w.value) {
            rows_[w.key] = {w.key, *w.value, revision_};
        }
        else {
            rows_.erase(w.key);
        }
    }
    return revision_;
}

std::vector<row> fake_table::read(const store_read& r) const
{
    std::map<std::string, row> found;
    for (const auto& key : r.keys) {
        const auto at = rows_.find(key);
        if (at != rows_.end()) {
            found.insert(*at);
        }
    }
    for (const auto& range : r.ranges) {
        std::size_t n = 0;
        for (auto at = rows_.lower_bound(std::max(range.prefix, range.from));
             at != rows_.end() && at->first.starts_with(range.prefix) && n < range.limit;
             ++at, ++n) {
            found.insert(*at);
        }
    }
    std::vector<row> rows;
    rows.reserve(found.size());
    for (const auto& [key, row] : found) {
        rows.push_back(row);
    }
    return rows;
}

std::optional<std::string> fake_table::value_of(const std::string& key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? std::nullopt : std::optional{found->second.value};
}

} // namespace cuminmoor::scenario
