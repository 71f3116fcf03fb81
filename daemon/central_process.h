/// \file
/// Process of an entry VM under central scheduling: a single-threaded event loop around the
/// reducer.
#pragma once

#include "absl/status/status.h"
#include "settings.h"

namespace cuminmoor::io {

/// Runs until SIGTERM or SIGINT and a graceful shutdown.
/// \return an error when an address cannot be bound.
absl::Status run_central_process(const settings& s);

} // namespace cuminmoor::io
