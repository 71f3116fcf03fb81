/// \file
/// The platform as the daemon uses it: table service, object store, list of VMs.
#pragma once

#include <memory>
#include <string>

#include "cuminmoor/membership.h"
#include "cuminmoor/store.h"
#include "event_sink.h"
#include "http_client.h"

namespace cuminmoor::io {

/// Every call is answered by exactly one event. Nothing is sent after `not_after`.
class platform_client {
public:
    platform_client() = default;
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;
    platform_client(platform_client&&) = delete;
    platform_client& operator=(platform_client&&) = delete;
    virtual ~platform_client() = default;

    virtual void commit(const store_commit& what, instant not_after) = 0;
    virtual void read(const store_read& what, instant not_after) = 0;
    virtual void put(const object_put& what, instant not_after) = 0;
    virtual void get(const object_get& what, instant not_after) = 0;
    virtual void read_vms(instant not_after) = 0;
};

/// The platform over HTTP and JSON.
/// \param address "a.b.c.d:port". All references must outlive the client.
std::unique_ptr<platform_client> make_http_platform_client(std::string address, http_client& http,
                                                           clock_source& clock, event_sink& sink);

} // namespace cuminmoor::io
