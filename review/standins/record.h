/// \file
/// The record of a case: what was sent, answered and run, in order.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// \return milliseconds on the steady clock.
inline std::int64_t now_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

/// \return milliseconds since 1970.
inline std::int64_t wall_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/// Writes lines with the time since the start of the case. May be used by any thread.
class record {
public:
    explicit record(const std::string& file) : out_{file}, began_at_{now_ms()} {}

    void add(const std::string& line)
    {
        const std::lock_guard lock{mutex_};
        out_ << now_ms() - began_at_ << ' ' << line << '\n';
        out_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    std::int64_t began_at_;
};

} // namespace review
