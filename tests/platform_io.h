/// \file
/// What the clients of the users' platform need in a test: an event loop, HTTP and a sink.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>

#include "asio_http_client.h"
#include "central_ports.h"
#include "line_log.h"
#include "settings.h"
#include "system_clock.h"

namespace test {

/// Ignores events and lets everything pass; tests override what they look at.
class event_sink : public cuminmoor::io::central_event_sink {
public:
    void post(cuminmoor::central::event /*e*/) override {}
    cuminmoor::central::call_handle next_handle() override { return {1}; }
    [[nodiscard]] bool is_ready() const override { return true; }
    [[nodiscard]] bool may_call(std::string_view /*host*/, std::string_view /*path*/,
                                const cuminmoor::central::credential& /*key*/) const override
    {
        return true;
    }
    [[nodiscard]] bool is_stopping() const override { return false; }
};

/// Event loop and HTTP client, with `platform` as the store's address.
struct platform_io {
    platform_io(cuminmoor::io::central_event_sink& to, const std::string& platform) : sink{to}
    {
        settings.platform = platform;
    }

    /// Runs the loop until the condition is met, or `limit` has passed.
    template <typename Condition>
    void run_until(Condition is_met, cuminmoor::millis limit = {5'000})
    {
        const cuminmoor::instant give_up = clock.now() + limit;
        while (!is_met() && clock.now() < give_up) {
            context.restart();
            context.run_for(std::chrono::milliseconds{1});
        }
    }

    static constexpr long most_connections{4};

    cuminmoor::io::central_event_sink& sink;
    cuminmoor::io::system_clock clock;
    cuminmoor::io::settings settings;
    cuminmoor::io::line_log log{clock, "vm", "fd"};
    asio::io_context context{1};
    std::unique_ptr<cuminmoor::io::http_client> http{
        cuminmoor::io::make_asio_http_client(context, clock, most_connections)};
    cuminmoor::io::deployment_dependencies dependencies{context, clock, *http, sink, log, settings};
};

} // namespace test
