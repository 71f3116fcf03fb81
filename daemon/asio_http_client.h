/// \file
/// HTTP client without a thread of its own.
#pragma once

#include <memory>

#include <asio/io_context.hpp>

#include "http_client.h"

namespace cuminmoor::io {

/// Calls back on the thread that runs `context`; to be used on that thread only.
/// \param context must outlive the client, as must `clock`.
/// \param connections most connections to one address.
std::unique_ptr<http_client> make_asio_http_client(asio::io_context& context, clock_source& clock,
                                                   long connections);

} // namespace cuminmoor::io
