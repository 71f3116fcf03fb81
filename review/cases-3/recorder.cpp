/// \file
/// Implementation of the recorder.
#include "recorder.h"

#include <iostream>

namespace review {

recorder::recorder(const std::string& file) : out_{file} {}

std::int64_t recorder::now_ms() const
{
    const auto passed = std::chrono::steady_clock::now() - begun_at_;
    return std::chrono::duration_cast<std::chrono::milliseconds>(passed).count();
}

void recorder::add(const std::string& line)
{
    const std::int64_t now = now_ms();
    const std::lock_guard lock{mutex_};
    out_ << now << " " << line << std::endl;
}

} // namespace review
