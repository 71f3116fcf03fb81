/// \file
/// In-memory fake of the platform's table and object store.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "cuminmoor/store.h"

namespace cuminmoor::scenario {

class fake_table {
public:
    /// \return the new revision, or nothing if a precondition does not hold.
    std::optional<row_version> commit(const transaction& t);
    [[nodiscard]] std::vector<row> read(const store_read& r) const;
    [[nodiscard]] std::optional<std::string> value_of(const std::string& key) const;
    [[nodiscard]] const std::map<std::string, row>& rows() const { return rows_; }

    std::map<std::string, std::string> objects;

private:
    [[nodiscard]] row_version version_of(const std::string& key) const;

    std::map<std::string, row> rows_;
    row_version revision_{0};
};

} // namespace cuminmoor::scenario
