/// \file
/// Faults that a stand-in can be told to show.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

#include "json_fields.h"

namespace standin {

/// The fault in force; changed by POST /control/fault.
struct fault_setting {
    std::string kind{"none"};
    std::chrono::milliseconds delay{0};
    /// Share of calls that show the fault.
    std::int64_t permille{1'000};
};

inline fault_setting parse_fault(const json& body)
{
    return {text_at(body, "kind"), std::chrono::milliseconds{number_at(body, "ms")},
            number_at(body, "permille", 1'000)};
}

/// Draws which calls show the fault; the same sequence in each run.
class fault_switch {
public:
    void set(const fault_setting& setting) { setting_ = setting; }

    /// \return the kind of fault that this call shows, "none" mostly.
    std::string draw()
    {
        const auto drawn = static_cast<std::int64_t>(random_() % 1'000U);
        return drawn < setting_.permille ? setting_.kind : "none";
    }
    [[nodiscard]] std::chrono::milliseconds delay() const { return setting_.delay; }

private:
    fault_setting setting_;
    std::minstd_rand random_; // NOLINT(cert-msc51-cpp): the fixed seed makes runs repeatable.
};

} // namespace standin
