/// \file
/// Workers as the daemon uses them: one exchange at a time.
#pragma once

#include <memory>
#include <string>

#include "cuminmoor/worker.h"
#include "event_sink.h"
#include "http_client.h"

namespace cuminmoor::io {

class worker_client {
public:
    worker_client() = default;
    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;
    worker_client(worker_client&&) = delete;
    worker_client& operator=(worker_client&&) = delete;
    virtual ~worker_client() = default;

    /// Answered by exactly one `worker_synced`. Nothing is sent after `not_after`.
    /// \param address "a.b.c.d:port" of the worker.
    virtual void sync(const worker_sync& what, const std::string& address, instant not_after) = 0;
};

/// Workers over HTTP and JSON. All references must outlive the client.
std::unique_ptr<worker_client> make_http_worker_client(http_client& http, clock_source& clock,
                                                       event_sink& sink);

} // namespace cuminmoor::io
