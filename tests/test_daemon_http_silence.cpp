/// \file
/// Kept connections of the HTTP client without a thread that go silent: they stay open, and nothing
/// comes back.
#include <criterion/criterion.h>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/io_context.hpp>

#include "asio_http_client.h"
#include "raw_http_server.h"
#include "system_clock.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;
using test::raw_http_server;
using test::whole;

namespace {

constexpr int kept_connections{4};
constexpr long most_connections{8};
constexpr cm::millis short_time{200};
constexpr cm::millis long_time{5'000};

enum class use_of_kept : bool { allowed, forbidden };

struct fixture {
    io::system_clock clock;
    asio::io_context context{1};
    std::unique_ptr<io::http_client> client;
    int ended{0};
    std::optional<io::http_outcome> last_outcome;

    explicit fixture(long connections = most_connections)
        : client{io::make_asio_http_client(context, clock, connections)}
    {
    }

    void start(const std::string& address, cm::millis time, use_of_kept use = use_of_kept::allowed)
    {
        io::http_call call;
        call.fresh_connection = use == use_of_kept::forbidden;
        call.address = address;
        call.target = "/x";
        call.deadline = clock.now() + time;
        call.max_answer_bytes = 1'000;
        client->start(std::move(call), [this](const io::http_result& r) {
            ++ended;
            last_outcome = r.outcome;
        });
    }

    /// \return false when `count` calls did not end in time.
    bool run_until_ended(int count)
    {
        const cm::instant give_up = clock.now() + long_time;
        while (ended < count && clock.now() < give_up) {
            context.restart();
            context.run_for(std::chrono::milliseconds{10});
        }
        return ended >= count;
    }
};

/// Leaves idle connections behind, one for each call.
void open_connections(fixture& f, const raw_http_server& server)
{
    for (int i{0}; i < kept_connections; ++i) {
        f.start(server.address(), long_time);
    }
    cr_assert(f.run_until_ended(kept_connections));
    cr_assert_eq(server.accepted(), kept_connections);
}

} // namespace

/// Guards against calls that try one silent connection after the other, each until its deadline:
/// no runner got an order for half a minute (review/1).
Test(http_silence, a_call_without_an_answer_makes_the_other_kept_connections_suspect)
{
    std::deque<test::reaction> reactions(kept_connections, whole("x"));
    reactions.emplace_back();
    reactions.push_back(whole("over a new connection"));
    raw_http_server server{reactions};
    fixture f;
    open_connections(f, server);
    f.start(server.address(), short_time);
    cr_assert(f.run_until_ended(kept_connections + 1));
    cr_assert(*f.last_outcome == io::http_outcome::lost);
    f.start(server.address(), long_time);
    cr_assert(f.run_until_ended(kept_connections + 2));
    cr_assert(*f.last_outcome == io::http_outcome::answered);
    cr_assert_eq(server.accepted(), kept_connections + 1);
}

/// A connection that has answered since the call was sent is not suspect: only one runner's orders
/// may hang, and each new connection costs time.
Test(http_silence, a_connection_that_answers_meanwhile_is_kept)
{
    std::deque<test::reaction> reactions(kept_connections, whole("x"));
    reactions.emplace_back();
    reactions.push_back(whole("meanwhile"));
    reactions.push_back(whole("afterwards"));
    raw_http_server server{reactions};
    fixture f;
    open_connections(f, server);
    f.start(server.address(), short_time);
    while (server.requests() <= kept_connections) {
        f.context.restart();
        f.context.run_for(std::chrono::milliseconds{5});
    }
    f.start(server.address(), long_time);
    cr_assert(f.run_until_ended(kept_connections + 2));
    f.start(server.address(), long_time);
    cr_assert(f.run_until_ended(kept_connections + 3));
    cr_assert(*f.last_outcome == io::http_outcome::answered);
    cr_assert_eq(server.accepted(), kept_connections);
}

/// Guards against a hold that asks for a new connection and waits until its deadline, as all
/// connections that may be open are idle.
Test(http_silence, a_call_for_a_new_connection_replaces_an_idle_one)
{
    std::deque<test::reaction> reactions(kept_connections, whole("x"));
    reactions.push_back(whole("over a new connection"));
    raw_http_server server{reactions};
    fixture f{kept_connections};
    open_connections(f, server);
    f.start(server.address(), long_time, use_of_kept::forbidden);
    cr_assert(f.run_until_ended(kept_connections + 1));
    cr_assert(*f.last_outcome == io::http_outcome::answered);
    cr_assert_eq(server.accepted(), kept_connections + 1);
}
