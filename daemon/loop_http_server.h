/// \file
/// HTTP server on its owner's event loop, which holds no more than its budget allows.
#pragma once

#include <memory>

#include "http_server.h"

namespace cuminmoor::io {

/// Starts a server on the loop of the options, which must be set.
/// \param handler must outlive the server.
/// \return an error when the address cannot be bound.
absl::StatusOr<std::unique_ptr<http_server>>
start_loop_http_server(const http_server_options& options, http_handler& handler);

} // namespace cuminmoor::io
