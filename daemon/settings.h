/// \file
/// Settings of the daemon, from flags and environment variables. docs/SETTINGS.md lists them.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "address.h"
#include "cuminmoor/central/event.h"
#include "cuminmoor/clock.h"
#include "cuminmoor/ids.h"
#include "logging.h"

namespace cuminmoor::io {

/// What the process was started for.
enum class run_mode : std::uint8_t { serve, check, print_settings, version, help };

/// Who schedules: one entry VM for each failure domain, or one for the whole deployment.
enum class scheduling_mode : std::uint8_t { domains, central };

struct settings {
    run_mode mode{run_mode::serve};
    scheduling_mode scheduling{scheduling_mode::domains};
    vm_id vm;
    failure_domain_id failure_domain;
    ip_address http;
    ip_address peer;
    /// "ip:port" of the platform's HTTP interface.
    std::string platform;
    std::size_t traffic_threads{2};
    log_level min_log_level{log_level::info};

    // Only for central scheduling.
    /// Where the balancer asks whether this VM takes callers.
    ip_address readiness;
    /// Longest lease that a runner grants.
    millis max_hold{10'000};
    /// How long callers can ask for an ended job at least.
    millis keep_ended{120'000};
    /// What this VM can carry, told to the others.
    central::vm_capacity capacity;
};

/// Reads flags, and environment variables for those that are not given as flags.
/// \param arguments without the program's name.
/// \return an error whose message lists all faults, one a line, each with its fix.
absl::StatusOr<settings> parse_settings(const std::vector<std::string>& arguments);

/// \return one "name=value" line for each setting.
std::string format_settings(const settings& s);

/// \return the help text with every flag and its environment variable.
std::string settings_help();

} // namespace cuminmoor::io
