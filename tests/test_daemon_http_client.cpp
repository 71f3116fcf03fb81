/// \file
/// The HTTP client: each outcome is true, and nothing is sent twice.
#include <criterion/criterion.h>

#include <future>

#include "http_client.h"
#include "raw_http_server.h"
#include "system_clock.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;
using test::raw_http_server;
using test::whole;

namespace {

constexpr cm::millis short_time{300};
constexpr cm::millis long_time{5'000};

struct fixture {
    io::system_clock clock;
    std::unique_ptr<io::http_client> client{io::make_http_client(clock, 4)};

    io::http_call make_call(const std::string& address, cm::millis time = long_time)
    {
        io::http_call call;
        call.method = "POST";
        call.address = address;
        call.target = "/x";
        call.body = std::make_shared<const std::string>("payload");
        call.deadline = clock.now() + time;
        call.max_answer_bytes = 1'000;
        return call;
    }

    io::http_result run(io::http_call call)
    {
        std::promise<io::http_result> done;
        client->start(std::move(call),
                      [&done](io::http_result r) { done.set_value(std::move(r)); });
        return done.get_future().get();
    }
};

/// Runs one call against one reaction.
io::http_outcome outcome_of(const test::reaction& reaction, const std::string& request_id = "")
{
    raw_http_server server{{reaction}};
    fixture f;
    auto call = f.make_call(server.address());
    call.request_id = request_id;
    return f.run(call).outcome;
}

} // namespace

Test(http_client, whole_answers_come_over_one_kept_connection)
{
    raw_http_server server{{whole("one"), whole("two")}};
    fixture f;
    cr_assert_eq(f.run(f.make_call(server.address())).body, "one");
    const auto second = f.run(f.make_call(server.address()));
    cr_assert(second.outcome == io::http_outcome::answered);
    cr_assert_eq(second.status, 200);
    cr_assert_eq(second.body, "two");
    cr_assert_eq(server.accepted(), 1);
}

Test(http_client, refused_connection_is_not_sent)
{
    std::string address;
    {
        const raw_http_server gone{{}};
        address = gone.address();
    }
    fixture f;
    cr_assert(f.run(f.make_call(address)).outcome == io::http_outcome::not_sent);
}

Test(http_client, nothing_goes_after_not_after)
{
    raw_http_server server{{whole("late")}};
    fixture f;
    auto call = f.make_call(server.address());
    call.not_after = f.clock.now() - cm::millis{1};
    cr_assert(f.run(call).outcome == io::http_outcome::not_sent);
    cr_assert_eq(server.requests(), 0);
}

Test(http_client, kept_connection_closed_under_a_request_does_not_send_it_again)
{
    raw_http_server server{{whole("one"), {"", true}, whole("again")}};
    fixture f;
    cr_assert(f.run(f.make_call(server.address())).outcome == io::http_outcome::answered);
    cr_assert(f.run(f.make_call(server.address())).outcome == io::http_outcome::lost);
    cr_assert_eq(server.requests(), 2);
}

Test(http_client, resendable_call_survives_a_closed_kept_connection)
{
    raw_http_server server{{whole("one"), {"", true}, whole("again")}};
    fixture f;
    cr_assert(f.run(f.make_call(server.address())).outcome == io::http_outcome::answered);
    auto call = f.make_call(server.address());
    call.resendable = true;
    cr_assert_eq(f.run(call).body, "again");
    cr_assert_eq(server.requests(), 3);
}

Test(http_client, fresh_connection_is_new)
{
    raw_http_server server{{whole("one"), whole("two")}};
    fixture f;
    (void)f.run(f.make_call(server.address()));
    auto call = f.make_call(server.address());
    call.fresh_connection = true;
    cr_assert_eq(f.run(call).body, "two");
    cr_assert_eq(server.accepted(), 2);
}

Test(http_client, broken_answers_are_lost)
{
    const auto lost = io::http_outcome::lost;
    cr_assert(outcome_of({"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true}) == lost);
    cr_assert(outcome_of({"HTTP/1.1 200 OK\r\n\r\nno length", true}) == lost);
    cr_assert(outcome_of({"HTTP/1.1 200 OK\r\nContent-Le", true}) == lost);
    cr_assert(outcome_of({"nonsense\r\n\r\n", true}) == lost);
    cr_assert(outcome_of({"", true}) == lost);
    cr_assert(outcome_of(whole(std::string(1'001, 'x'))) == lost);
    cr_assert(outcome_of({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", true}) ==
              lost);
}

Test(http_client, answer_must_name_its_request)
{
    cr_assert(outcome_of(whole("a", "X-Request-Id: q1\r\n"), "q1") == io::http_outcome::answered);
    cr_assert(outcome_of(whole("a", "X-Request-Id: q2\r\n"), "q1") == io::http_outcome::lost);
    cr_assert(outcome_of(whole("a"), "q1") == io::http_outcome::lost);
}

Test(http_client, connection_of_a_wrong_answer_is_not_used_again)
{
    raw_http_server server{
        {whole("a", "X-Request-Id: q2\r\n"), whole("b", "X-Request-Id: q1\r\n")}};
    fixture f;
    auto call = f.make_call(server.address());
    call.request_id = "q1";
    cr_assert(f.run(call).outcome == io::http_outcome::lost);
    cr_assert_eq(f.run(call).body, "b");
    cr_assert_eq(server.accepted(), 2);
}

Test(http_client, answer_after_the_deadline_is_lost_and_its_connection_closed)
{
    raw_http_server server{{{}, whole("next")}};
    fixture f;
    cr_assert(f.run(f.make_call(server.address(), short_time)).outcome == io::http_outcome::lost);
    cr_assert_eq(f.run(f.make_call(server.address())).body, "next");
    cr_assert_eq(server.accepted(), 2);
}

Test(http_client, dropped_call_closes_its_connection_and_calls_nobody_back)
{
    raw_http_server server{{{}, whole("next")}};
    fixture f;
    std::atomic<bool> called{false};
    const auto number = f.client->start(f.make_call(server.address()),
                                        [&called](const io::http_result&) { called = true; });
    while (server.requests() == 0) {
        std::this_thread::yield();
    }
    f.client->drop(number);
    cr_assert_eq(f.run(f.make_call(server.address())).body, "next");
    cr_assert_eq(server.accepted(), 2);
    while (server.closed_by_client() == 0) {
        std::this_thread::yield();
    }
    cr_assert(!called);
}
