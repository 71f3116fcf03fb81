/// \file
/// Platform and runner clients: what an answer means to the core.
#include <criterion/criterion.h>

#include "event_list.h"
#include "io_limits.h"
#include "platform_client.h"
#include "raw_http_server.h"
#include "runner_client.h"
#include "system_clock.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;
using test::raw_http_server;
using test::whole;

namespace {

test::reaction answer(const std::string& head, const std::string& body = "")
{
    return {"HTTP/1.1 " + head + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body};
}

struct fixture {
    io::system_clock clock;
    test::event_list events;
    std::unique_ptr<io::http_client> http{io::make_http_client(clock, 64)};
    std::unique_ptr<io::runner_client> runners{io::make_http_runner_client(
        *http, events, [](const cm::dispatch_ended&, io::measuring_clock::duration) {})};
};

cm::store_outcome commit_outcome(const test::reaction& reaction)
{
    raw_http_server server{{reaction}};
    fixture f;
    const auto platform =
        io::make_http_platform_client(server.address(), *f.http, f.clock, f.events);
    platform->commit({{cm::store_user::lease, 1}, {}}, cm::never);
    return f.events.take<cm::store_committed>().outcome;
}

cm::request_dispatch make_dispatch(cm::instant now, bool to_entry_vm)
{
    cm::request_dispatch d;
    d.handle = {1};
    d.dispatch = {2};
    d.to_entry_vm = to_entry_vm;
    d.deadline = now + cm::millis{5'000};
    d.caller = {"c"};
    d.service = {"s"};
    d.id = {"q1"};
    d.body = std::make_shared<const std::string>("b");
    return d;
}

cm::dispatch_outcome dispatch_outcome_of(const std::string& head, bool to_entry_vm)
{
    raw_http_server server{{answer(head + "\r\nX-Request-Id: q1", "body")}};
    fixture f;
    f.runners->dispatch(make_dispatch(f.clock.now(), to_entry_vm), server.address(), cm::never);
    return f.events.take<cm::dispatch_ended>().outcome;
}

} // namespace

Test(platform_client, commit_outcomes)
{
    cr_assert(commit_outcome(answer("200 OK", R"({"revision":12})")) == cm::store_outcome::ok);
    cr_assert(commit_outcome(answer("409 Conflict", R"({"failed":"k"})")) ==
              cm::store_outcome::conflict);
    cr_assert(commit_outcome(answer("503 Down")) == cm::store_outcome::unavailable);
    cr_assert(commit_outcome(answer("500 Fault")) == cm::store_outcome::unknown);
    cr_assert(commit_outcome(answer("200 OK", "{}")) == cm::store_outcome::unknown);
    cr_assert(commit_outcome({"", true}) == cm::store_outcome::unknown);
}

Test(platform_client, expired_commit_is_unavailable)
{
    raw_http_server server{{}};
    fixture f;
    const auto platform =
        io::make_http_platform_client(server.address(), *f.http, f.clock, f.events);
    platform->commit({{cm::store_user::lease, 1}, {}}, f.clock.now() - cm::millis{1});
    cr_assert(f.events.take<cm::store_committed>().outcome == cm::store_outcome::unavailable);
    cr_assert_eq(server.requests(), 0);
}

Test(platform_client, reads_are_shed_before_commits)
{
    raw_http_server server{{}};
    fixture f;
    const auto platform =
        io::make_http_platform_client(server.address(), *f.http, f.clock, f.events);
    for (std::size_t i = 0; i <= io::max_store_reads; ++i) {
        platform->read({{cm::store_user::lease, i}, {}, {}}, cm::never);
    }
    // Only the last was refused at once; the server holds the others.
    const auto shed = f.events.take<cm::store_read_done>();
    cr_assert(!shed.ok);
    cr_assert_eq(shed.token.number, io::max_store_reads);
    while (server.requests() < static_cast<int>(io::max_store_reads)) {
        std::this_thread::yield();
    }
    platform->commit({{cm::store_user::lease, 1}, {}}, cm::never);
    while (server.requests() < static_cast<int>(io::max_store_reads) + 1) {
        std::this_thread::yield();
    }
}

Test(runner_client, runner_outcomes)
{
    using cm::dispatch_outcome;
    cr_assert(dispatch_outcome_of("200 OK", false) == dispatch_outcome::answered);
    cr_assert(dispatch_outcome_of("500 Fault", false) == dispatch_outcome::answered);
    cr_assert(dispatch_outcome_of("503 Busy", false) == dispatch_outcome::answered);
    cr_assert(dispatch_outcome_of("503 Busy\r\nX-Not-Run: 1", false) == dispatch_outcome::refused);
    cr_assert(dispatch_outcome_of("429 Busy\r\nX-Not-Run: 1", false) == dispatch_outcome::refused);
    cr_assert(dispatch_outcome_of("500 Fault\r\nX-Not-Run: 1", false) ==
              dispatch_outcome::answered);
}

Test(runner_client, entry_vm_outcomes)
{
    using cm::dispatch_outcome;
    cr_assert(dispatch_outcome_of("200 OK\r\nX-Result-Code: 0", true) ==
              dispatch_outcome::answered);
    cr_assert(dispatch_outcome_of("503 No\r\nX-Result-Code: 201\r\nX-Not-Run: 1", true) ==
              dispatch_outcome::refused);
    cr_assert(dispatch_outcome_of("504 No\r\nX-Result-Code: 300", true) == dispatch_outcome::lost);
    cr_assert(dispatch_outcome_of("503 No\r\nX-Result-Code: 300\r\nX-Not-Run: 1", true) ==
              dispatch_outcome::lost);
    cr_assert(dispatch_outcome_of("200 OK", true) == dispatch_outcome::lost);
}
