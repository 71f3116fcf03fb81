/// \file
/// Structured log on standard error by glog: one line of key=value pairs per event.
#pragma once

#include <string>
#include <vector>

#include "cuminmoor/effect.h"

namespace cuminmoor::io {

enum class log_level : std::uint8_t { info, warning, error };

/// Initializes glog. Must be called once, before the first line is logged.
/// \param program name of this program.
/// \param min_level lines below this level are not logged.
void start_logging(const char* program, log_level min_level);

/// \return "event=<name>" and the fields; values with spaces, quotes or '=' are quoted.
std::string format_event(const std::string& name, const std::vector<log_field>& fields);

/// Identity of this process, written after the event name in every line.
struct log_identity {
    std::string vm;
    std::string failure_domain;
};
void set_log_identity(log_identity identity);

void log_info(const std::string& event, std::vector<log_field> fields = {});
void log_warning(const std::string& event, std::vector<log_field> fields = {});
void log_error(const std::string& event, std::vector<log_field> fields = {});

} // namespace cuminmoor::io
