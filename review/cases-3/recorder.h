/// \file
/// What a case sent, what was answered and what ran, one line each.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// Writes lines with the time since its construction; may be used by any thread.
class recorder {
public:
    explicit recorder(const std::string& file);

    void add(const std::string& line);
    /// \return milliseconds since the construction.
    [[nodiscard]] std::int64_t now_ms() const;

private:
    std::chrono::steady_clock::time_point begun_at_{std::chrono::steady_clock::now()};
    std::mutex mutex_;
    std::ofstream out_;
};

} // namespace review
