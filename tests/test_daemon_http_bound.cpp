/// \file
/// Calls of the HTTP client without a thread that are bound to the connection that answered the
/// last one.
#include <criterion/criterion.h>

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "asio_http_client.h"
#include "raw_http_server.h"
#include "system_clock.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;
using test::raw_http_server;
using test::whole;

namespace {

constexpr long most_connections{3};
constexpr cm::millis short_time{200};
constexpr cm::millis long_time{5'000};

cm::body_text text(const std::string& body)
{
    return std::make_shared<const std::string>(body);
}

const std::string bound_text{"meant for one life"};
const std::string unbound_text{"for any"};

/// \return an answer whose body is the length of the request's.
test::reaction length_of_body(const std::string& head)
{
    const std::string field{"Content-Length: "};
    const std::size_t from = head.find(field) + field.size();
    return whole(head.substr(from, head.find("\r\n", from) - from));
}

/// Answers like that, but for one request, after which it closes the connection.
test::responder closing_at(int request)
{
    return test::responder{[request, seen = 0](const std::string& head) mutable {
        return ++seen == request ? test::reaction{"", true} : length_of_body(head);
    }};
}

struct fixture {
    io::system_clock clock;
    asio::io_context context{1};
    std::unique_ptr<io::http_client> client{
        io::make_asio_http_client(context, clock, most_connections)};
    std::vector<io::http_result> ended;

    io::http_call make_call(const std::string& address, cm::millis time = long_time)
    {
        io::http_call call;
        call.method = "POST";
        call.address = address;
        call.target = "/x";
        call.body = text(bound_text);
        call.deadline = clock.now() + time;
        call.max_answer_bytes = 1'000;
        call.resendable = true;
        return call;
    }
    void start(io::http_call call)
    {
        client->start(std::move(call),
                      [this](io::http_result r) { ended.push_back(std::move(r)); });
    }
    void start_bound(const std::string& address, cm::millis time = long_time)
    {
        io::http_call call = make_call(address, time);
        call.unbound_body = text(unbound_text);
        start(std::move(call));
    }
    /// \return true if the server has received this body with the call.
    [[nodiscard]] bool carried(std::size_t call, const std::string& body) const
    {
        return ended[call].body == std::to_string(body.size());
    }
    /// Runs the loop until so many calls have ended.
    void run_until_ended(std::size_t count)
    {
        const cm::instant give_up = clock.now() + long_time;
        while (ended.size() < count && clock.now() < give_up) {
            context.restart();
            context.run_for(std::chrono::milliseconds{10});
        }
        cr_assert_eq(ended.size(), count);
    }
};

} // namespace

Test(http_bound, first_call_goes_unbound_and_the_next_over_its_connection)
{
    raw_http_server server{closing_at(0)};
    fixture f;
    f.start_bound(server.address());
    f.run_until_ended(1);
    cr_assert(f.ended[0].was_unbound);
    cr_assert(f.carried(0, unbound_text));
    f.start_bound(server.address());
    f.run_until_ended(2);
    cr_assert(!f.ended[1].was_unbound);
    cr_assert(f.carried(1, bound_text));
    cr_assert_eq(f.ended[1].connected_at.ms, f.ended[0].connected_at.ms);
    cr_assert_eq(server.accepted(), 1);
}

Test(http_bound, other_calls_leave_the_connection_free)
{
    raw_http_server server{{whole("a"), whole("b"), whole("c")}};
    fixture f;
    f.start_bound(server.address());
    f.run_until_ended(1);
    f.start(f.make_call(server.address()));
    f.run_until_ended(2);
    cr_assert_eq(server.accepted(), 2);
    f.start_bound(server.address());
    f.run_until_ended(3);
    cr_assert(!f.ended[2].was_unbound);
    cr_assert_eq(server.accepted(), 2);
}

/// Guards against leases and acknowledgements that reach a restarted runner: the connection to its
/// former life is reset, and the call is sent again.
Test(http_bound, call_over_a_reset_connection_is_repeated_unbound)
{
    raw_http_server server{closing_at(2)};
    fixture f;
    f.start_bound(server.address());
    f.run_until_ended(1);
    f.start_bound(server.address());
    f.run_until_ended(2);
    cr_assert(f.ended[1].outcome == io::http_outcome::answered);
    cr_assert(f.ended[1].was_unbound);
    cr_assert(f.carried(1, unbound_text));
    f.start_bound(server.address());
    f.run_until_ended(3);
    cr_assert(!f.ended[2].was_unbound);
    cr_assert(f.carried(2, bound_text));
}

/// A refusal may come from a runner with another id that is now at the address.
Test(http_bound, refusal_binds_nothing)
{
    raw_http_server server{{{"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"},
                            whole("b"),
                            whole("c")}};
    fixture f;
    f.start_bound(server.address());
    f.run_until_ended(1);
    f.start_bound(server.address());
    f.run_until_ended(2);
    cr_assert(f.ended[1].was_unbound);
    f.start_bound(server.address());
    f.run_until_ended(3);
    cr_assert(!f.ended[2].was_unbound);
}

/// Each replaced connection would take the place of another one.
Test(http_bound, replaced_connections_are_closed)
{
    raw_http_server server{closing_at(0)};
    fixture f;
    for (std::size_t round{0}; round < 4; ++round) {
        io::http_call call = f.make_call(server.address());
        call.unbound_body = text(unbound_text);
        call.fresh_connection = true;
        f.start(std::move(call));
        f.run_until_ended(round + 1);
        cr_assert(f.ended[round].outcome == io::http_outcome::answered);
    }
    f.start(f.make_call(server.address()));
    f.run_until_ended(5);
    cr_assert(f.ended[4].outcome == io::http_outcome::answered);
}

Test(http_bound, call_after_one_without_an_answer_goes_unbound)
{
    raw_http_server server{{whole("a"), {}, whole("c")}};
    fixture f;
    f.start_bound(server.address());
    f.run_until_ended(1);
    f.start_bound(server.address(), short_time);
    f.run_until_ended(2);
    cr_assert(f.ended[1].outcome == io::http_outcome::lost);
    f.start_bound(server.address());
    f.run_until_ended(3);
    cr_assert(f.ended[2].was_unbound);
}

/// A silent connection must not keep its place while a new one is asked for.
Test(http_bound, call_for_a_new_connection_replaces_the_bound_one)
{
    raw_http_server server{{whole("a"), whole("b")}};
    fixture f;
    f.start_bound(server.address());
    f.run_until_ended(1);
    io::http_call call = f.make_call(server.address());
    call.unbound_body = text(unbound_text);
    call.fresh_connection = true;
    f.start(std::move(call));
    f.run_until_ended(2);
    cr_assert(f.ended[1].was_unbound);
    cr_assert_eq(server.accepted(), 2);
}
