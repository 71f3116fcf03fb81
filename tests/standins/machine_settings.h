/// \file
/// Settings that the worker and the runner stand-in share.
#pragma once

#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "absl/status/statusor.h"
#include "json_fields.h"
#include "standin_http.h"

namespace standin {

struct machine_settings {
    /// Address of the first machine; each further one has the next port.
    endpoint first;
    std::uint16_t count{1};
    /// Machine n is called prefix + n, counted from `first_number`.
    std::string prefix;
    unsigned first_number{1};
    std::string failure_domain;
    /// Platform to register with; empty: none.
    std::string platform;
};

/// Adds the shared flags to a program's own.
void add_machine_options(boost::program_options::options_description& flags);

/// \return the shared settings, or an error that names the flag and the fix.
absl::StatusOr<machine_settings>
parse_machine_settings(const boost::program_options::variables_map& values);

/// Reads the command line without exceptions.
absl::StatusOr<boost::program_options::variables_map>
parse_flags(int argc, char** argv, const boost::program_options::options_description& flags);

std::string machine_name(const machine_settings& settings, unsigned index);
std::vector<std::string> machine_names(const machine_settings& settings);

/// \return the machines' lines for the platform's list.
json list_entries(const machine_settings& settings, const std::string& role,
                  const std::string& service);

/// Serves until a signal, listed with the platform meanwhile.
/// \return the process's exit code.
int run_listed(http_host& host, const machine_settings& settings, const std::string& role,
               const std::string& service);

} // namespace standin
