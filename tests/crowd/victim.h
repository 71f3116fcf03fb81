/// \file
/// One entry VM with lowered limits beside the stand-ins of the review, and what it uses.
#pragma once

#include <cstddef>
#include <string>

#include "child_process.h"
#include "world.h"

namespace crowd {

/// Memory of the VM and descriptors of its process; settings and bounds at the same time.
inline constexpr std::size_t memory_limit_mb{64};
inline constexpr std::size_t descriptor_limit{300};

/// Addresses and paths at which crowds come.
enum class place : std::uint8_t { queue, no_route, readiness, metrics, peers };

/// Settings that the VM starts with.
enum class limit_settings : std::uint8_t { lowered, defaults };

struct usage {
    /// 0 once the process has ended.
    std::size_t resident_bytes{0};
    std::size_t descriptors{0};
};

class victim {
public:
    /// Starts the process and waits until it takes calls.
    /// \param name of the log's folder.
    explicit victim(const std::string& name, limit_settings limits = limit_settings::lowered);

    [[nodiscard]] std::string address_of(place where) const;
    /// \return method and path of a request there.
    [[nodiscard]] static std::string request_line(place where);
    /// \return a request's head up to its own fields, with `Host`.
    [[nodiscard]] static std::string head(place where);

    /// Looks at the process and keeps the most that was seen.
    /// \return true if it lives and was always below both limits.
    bool stays_below_limits();
    /// As `stays_below_limits`, for the memory alone.
    bool has_memory_left();
    /// The most that was seen.
    [[nodiscard]] const usage& most() const { return most_; }
    [[nodiscard]] bool is_alive() { return !process_.wait_for_exit(process_test::milliseconds{0}); }
    /// Hands in an ordinary job, again until it is taken, and waits for its end.
    /// \return its last state.
    std::string run_ordinary_job();
    /// As `run_ordinary_job`, once the job of that number was taken.
    std::string wait_for_end(unsigned job);
    [[nodiscard]] const std::string& callers() const { return callers_; }

private:
    [[nodiscard]] usage measure() const;
    [[nodiscard]] review::http_answer call(const std::string& method, const std::string& job,
                                           const std::string& body) const;

    std::string callers_;
    std::string readiness_;
    std::string peers_;
    review::world world_;
    process_test::child_process process_;
    usage most_;
};

} // namespace crowd
