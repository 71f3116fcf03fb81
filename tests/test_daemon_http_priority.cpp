/// \file
/// Urgent calls of the HTTP client that has no thread: nothing that is not urgent delays them.
#include <algorithm>
#include <chrono>
#include <deque>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <asio/io_context.hpp>

#include "asio_http_client.h"
#include "raw_http_server.h"
#include "system_clock.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;
using test::raw_http_server;
using test::whole;

namespace {

constexpr long connections{3};
constexpr cm::millis long_time{5'000};

/// Collects the targets of calls in the order in which they were answered.
struct fixture {
    explicit fixture(long most_connections = connections)
        : client{io::make_asio_http_client(context, clock, most_connections)}
    {
    }

    io::system_clock clock;
    asio::io_context context{1};
    std::unique_ptr<io::http_client> client;
    std::vector<std::string> answered;

    void start(const std::string& address, const std::string& target, bool is_urgent)
    {
        io::http_call call;
        call.address = address;
        call.target = target;
        call.deadline = clock.now() + long_time;
        call.max_answer_bytes = 1'000;
        call.is_urgent = is_urgent;
        client->start(std::move(call), [this, target](const io::http_result& r) {
            if (r.outcome == io::http_outcome::answered) {
                answered.push_back(target);
            }
        });
    }

    /// \return false when it did not come to that in time.
    bool run_until(const std::function<bool()>& reached)
    {
        const cm::instant give_up = clock.now() + cm::millis{2'000};
        while (!reached() && clock.now() < give_up) {
            context.restart();
            context.run_for(std::chrono::milliseconds{10});
        }
        return reached();
    }
};

} // namespace

/// Calls that get no answer take all connections but the one that is kept.
Test(http_priority, an_urgent_call_does_not_wait_for_calls_that_hang)
{
    raw_http_server server{{whole("first"), {}, {}, whole("second")}};
    fixture f;
    f.start(server.address(), "/urgent/1", true);
    cr_assert(f.run_until([&f] { return f.answered.size() == 1; }));
    for (int i{0}; i < 2 * connections; ++i) {
        f.start(server.address(), "/bulk", false);
    }
    cr_assert(f.run_until([&server] { return server.requests() >= connections; }));
    f.start(server.address(), "/urgent/2", true);
    cr_assert(f.run_until([&f] { return f.answered.size() == 2; }));
    cr_assert_eq(f.answered.back(), "/urgent/2");
}

/// Over one connection, so that the order is certain.
Test(http_priority, an_urgent_call_goes_before_those_that_wait)
{
    constexpr std::size_t bulk{4};
    raw_http_server server{std::deque<test::reaction>(bulk + 1, whole("x"))};
    fixture f{1};
    for (std::size_t i{0}; i < bulk; ++i) {
        f.start(server.address(), "/bulk", false);
    }
    f.start(server.address(), "/urgent", true);
    cr_assert(f.run_until([&f] { return f.answered.size() == bulk + 1; }));
    cr_assert_eq(f.answered[1], "/urgent");
}

Test(http_priority, addresses_without_urgent_calls_keep_no_connection_back)
{
    raw_http_server server{{}};
    fixture f;
    for (int i{0}; i < connections; ++i) {
        f.start(server.address(), "/bulk", false);
    }
    cr_assert(f.run_until([&server] { return server.requests() == connections; }));
}

/// A resent call that waits for a connection still has its old one in the books.
Test(http_priority, a_resent_call_that_waits_for_a_connection_can_be_given_up)
{
    raw_http_server server{{whole("one"), test::reaction{"", true}}};
    io::system_clock clock;
    asio::io_context context{1};
    auto client = io::make_asio_http_client(context, clock, 1);
    const auto make = [&](cm::millis time) {
        io::http_call call;
        call.method = "POST";
        call.address = server.address();
        call.target = "/x";
        call.body = std::make_shared<const std::string>("payload");
        call.deadline = clock.now() + time;
        call.max_answer_bytes = 1'000;
        call.resendable = true;
        return call;
    };
    int ended{0};
    client->start(make({2'000}), [&](const io::http_result&) {
        ++ended;
        client->start(make({300}), [&](const io::http_result&) { ++ended; });
        client->start(make({600}), [&](const io::http_result&) { ++ended; });
    });
    std::string thrown;
    try {
        context.run_for(std::chrono::milliseconds{1'500});
    }
    catch (const std::exception& e) {
        thrown = e.what();
    }
    cr_log_info("calls ended %d, thrown '%s'", ended, thrown.c_str());
    cr_assert(thrown.empty());
    cr_assert_eq(ended, 3);
}
