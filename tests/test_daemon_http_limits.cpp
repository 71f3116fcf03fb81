/// \file
/// What clients see of the limits of the HTTP server on its owner's loop.
#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include "connection_budget.h"
#include "http_server.h"
#include "io_limits.h"
#include "loop_http_connection.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;
using asio::ip::tcp;

namespace {

constexpr std::size_t mib{std::size_t{1} << 20U};

/// Keeps what it was asked.
class keeping_handler final : public io::http_handler {
public:
    void on_request(io::http_request request, io::http_responder respond) override
    {
        paths.push_back(request.path);
        responders.push_back(std::move(respond));
    }
    void on_connection_closed(io::connection_number /*connection*/) override { ++closed; }

    std::vector<std::string> paths;
    std::vector<io::http_responder> responders;
    std::size_t closed{0};
};

class set_clock final : public cm::clock_source {
public:
    cm::instant now() override { return at; }
    cm::instant at{1'000};
};

/// A server and the sockets of its clients, all on one loop.
struct fixture {
    asio::io_context context{1};
    io::connection_budget budget{{16 * mib, 100}};
    keeping_handler handler;
    std::unique_ptr<io::http_server> server = *io::start_http_server(
        {"127.0.0.1", 0, 1, &context, io::listener::callers, &budget}, handler);

    tcp::socket connect()
    {
        tcp::socket socket{context};
        socket.connect({asio::ip::make_address("127.0.0.1"), server->port()});
        return socket;
    }
    void run(int milliseconds = 50)
    {
        context.restart();
        context.run_for(std::chrono::milliseconds{milliseconds});
    }
    /// Sends while the loop runs, so that long texts go through.
    void send(tcp::socket& socket, const std::string& text)
    {
        asio::async_write(socket, asio::buffer(text), [](asio::error_code, std::size_t) {});
        run();
    }
    /// \return what has come back.
    static std::string receive(tcp::socket& socket)
    {
        std::string text(65'536, ' ');
        asio::error_code failed;
        socket.non_blocking(true);
        text.resize(socket.read_some(asio::buffer(text), failed));
        return text;
    }
};

const std::string head{"POST /q/1 HTTP/1.1\r\nHost: a\r\n"};

} // namespace

Test(http_limits, body_over_the_limit_is_refused_by_name_and_not_run)
{
    fixture f;
    auto socket = f.connect();
    f.send(socket, head + "Content-Length: 9000000\r\n\r\nabc");
    const std::string answer = fixture::receive(socket);
    cr_assert(answer.starts_with("HTTP/1.1 413"), "%s", answer.c_str());
    cr_assert(answer.find(R"("limit":"body")") != std::string::npos);
    cr_assert(f.handler.paths.empty());
    cr_assert_eq(f.budget.refusals(io::client_limit::body), 1);
}

Test(http_limits, head_over_the_limit_is_refused_by_name_and_not_run)
{
    fixture f;
    auto socket = f.connect();
    f.send(socket, head + "a: " + std::string(io::max_head_bytes, 'x'));
    const std::string answer = fixture::receive(socket);
    cr_assert(answer.starts_with("HTTP/1.1 431"), "%s", answer.c_str());
    cr_assert(answer.find(R"("limit":"head")") != std::string::npos);
    cr_assert(f.handler.paths.empty());
}

Test(http_limits, body_that_never_came_whole_is_not_run)
{
    fixture f;
    {
        auto socket = f.connect();
        f.send(socket, head + "Content-Length: 10\r\n\r\n123456789");
        cr_assert(f.budget.held_bytes() > 0);
    }
    f.run();
    cr_assert(f.handler.paths.empty());
    cr_assert_eq(f.handler.closed, 1);
    cr_assert_eq(f.budget.held_bytes(), 0);
}

/// The reducer may hold calls for long; without room for one more it is refused before it runs.
Test(http_limits, call_without_room_is_refused_and_not_run)
{
    fixture f;
    auto waiting = f.budget.hold_call(io::listener::callers, 9 * mib);
    auto socket = f.connect();
    f.send(socket, head + "Content-Length: 2\r\n\r\n{}");
    const std::string answer = fixture::receive(socket);
    cr_assert(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
    cr_assert(answer.find("Retry-After: 1") != std::string::npos);
    cr_assert(answer.find(R"("limit":"memory")") != std::string::npos);
    cr_assert(f.handler.paths.empty());
}

/// Closing connections frees nothing of what calls hold.
Test(http_limits, who_waits_for_an_answer_gets_it_although_others_find_no_room)
{
    fixture f;
    auto waits = f.connect();
    f.send(waits, head + "Content-Length: 2\r\n\r\n{}");
    cr_assert_eq(f.handler.responders.size(), 1);
    auto held = f.budget.hold_call(io::listener::callers, 9 * mib);
    auto refused = f.connect();
    f.send(refused, head + "Content-Length: 2\r\n\r\n{}");
    cr_assert(fixture::receive(refused).starts_with("HTTP/1.1 503"));
    f.handler.responders.at(0)(io::http_response{});
    f.run();
    cr_assert(fixture::receive(waits).starts_with("HTTP/1.1 200"));
}

Test(http_limits, call_of_an_own_vm_is_taken_without_room)
{
    fixture f;
    auto socket = f.connect();
    f.send(socket, head + "Content-Length: 2\r\n\r\n{}");
    io::http_response known;
    known.trusts_client = true;
    f.handler.responders.at(0)(known);
    f.run();
    auto waiting = f.budget.hold_call(io::listener::callers, 9 * mib);
    f.send(socket, head + "Content-Length: 2\r\n\r\n{}");
    cr_assert_eq(f.handler.paths.size(), 2);
}

Test(http_limits, only_some_requests_are_read_ahead_and_answers_keep_their_order)
{
    fixture f;
    auto socket = f.connect();
    std::string requests;
    for (int i{0}; i < 9; ++i) {
        requests += "GET /" + std::to_string(i) + " HTTP/1.1\r\n\r\n";
    }
    f.send(socket, requests);
    cr_assert_eq(f.handler.paths.size(), io::max_pipelined_requests);
    // The last first: it waits for the others.
    for (std::size_t i{f.handler.responders.size()}; i > 0; --i) {
        io::http_response response;
        response.body = std::make_shared<const std::string>("body" + std::to_string(i - 1));
        f.handler.responders[i - 1](response);
    }
    f.run();
    const std::string answers = fixture::receive(socket);
    cr_assert(answers.find("body0") < answers.find("body1"));
    cr_assert(answers.find("body2") < answers.find("body3"));
    cr_assert_eq(f.handler.paths.size(), 2 * io::max_pipelined_requests);
}

Test(http_limits, client_that_ends_its_side_gets_its_answer)
{
    fixture f;
    auto socket = f.connect();
    f.send(socket, "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
    socket.shutdown(tcp::socket::shutdown_send);
    f.run();
    cr_assert_eq(f.handler.responders.size(), 1);
    f.handler.responders[0]({});
    f.run();
    cr_assert(fixture::receive(socket).starts_with("HTTP/1.1 200"));
}

Test(http_limits, request_that_takes_too_long_is_refused_by_name)
{
    fixture f;
    tcp::acceptor acceptor{f.context, {asio::ip::make_address("127.0.0.1"), 0}};
    tcp::socket client{f.context};
    client.connect(acceptor.local_endpoint());
    set_clock clock;
    io::connection_group group{f.handler, f.budget, clock, io::listener::callers};
    const auto number = f.budget.add(io::listener::callers, clock.at);
    const auto c = std::make_shared<io::loop_http_connection>(acceptor.accept(), group, number);
    group.connections.emplace(number, c);
    c->start();
    f.send(client, head);
    clock.at = clock.at + io::head_timeout;
    c->check_times(clock.at);
    cr_assert_eq(f.budget.refusals(io::client_limit::time), 0);
    clock.at = clock.at + cm::millis{1};
    c->check_times(clock.at);
    f.run();
    const std::string answer = fixture::receive(client);
    cr_assert(answer.starts_with("HTTP/1.1 408"), "%s", answer.c_str());
    cr_assert(answer.find(R"("limit":"time")") != std::string::npos);
    // The client has read it or not: the connection ends soon after.
    c->check_times(clock.at + io::linger_time + cm::millis{1});
    cr_assert_eq(group.connections.size(), 0);
}
