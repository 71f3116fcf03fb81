/// \file
/// Settings of the daemon, from flags and environment variables. docs/SETTINGS.md documents them.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "address.h"
#include "cuminmoor/central/event.h"
#include "cuminmoor/central/options.h"
#include "cuminmoor/clock.h"
#include "cuminmoor/ids.h"
#include "logging.h"

namespace cuminmoor::io {

/// Action that the command line asks for.
enum class run_mode : std::uint8_t { serve, check, print_settings, version, help };

/// Scope of a scheduler: one scheduler per failure domain, or one for the whole deployment.
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

    // The settings below apply to central scheduling only.
    /// Address of the readiness endpoint for the load balancer.
    ip_address readiness;
    /// Longest run lease that a runner grants.
    millis max_hold{10'000};
    /// Minimum time for which an ended job can be queried.
    millis keep_ended{120'000};
    /// Capacity of this VM, announced to the other entry VMs.
    central::vm_capacity capacity;
    central::scheduling_options options;
    /// Memory that this process may use; clients may hold a part of it.
    std::size_t memory_bytes{0};
    /// Descriptors that this process may open.
    std::size_t max_descriptors{0};
};

/// Parses flags; settings without a flag are read from environment variables.
/// \param arguments the command line without the program name.
/// \return an error whose message lists all errors, one per line, each with its remedy.
absl::StatusOr<settings> parse_settings(const std::vector<std::string>& arguments);

/// \return one "name=value" line per setting.
std::string format_settings(const settings& s);

/// \return the help text with every flag and its environment variable.
std::string settings_help();

} // namespace cuminmoor::io
