/// \file
/// A last log line when the process aborts: an uncaught exception, a failed check or SIGABRT.
#pragma once

#include <cstdint>
#include <string>

namespace cuminmoor::io {

/// What the process does at the moment. The texts must live as long as the process.
struct abort_context {
    /// Role under the lease; empty outside central scheduling.
    const char* role{""};
    std::uint64_t term{0};
    /// The event that is being processed; empty between events.
    const char* event{""};
};

/// Writes the line to this file descriptor before the process ends. Called once.
/// \param vm, failure_domain fields of the line.
void report_aborts(int file_descriptor, const std::string& vm, const std::string& failure_domain);

/// Sets the context of the line. Only the thread that processes events calls it.
void set_abort_context(const abort_context& context);

} // namespace cuminmoor::io
