/// \file
/// HTTP API of the daemon: events that reach the core, and responses that callers get.
#include <criterion/criterion.h>

#include <future>

#include "answers.h"
#include "api_handler.h"
#include "cuminmoor/config.h"
#include "event_list.h"
#include "http_client.h"
#include "io_limits.h"
#include "system_clock.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;

namespace {

constexpr cm::millis call_timeout{5'000};

struct fixture {
    io::system_clock clock;
    io::open_calls calls;
    test::event_list events;
    io::metrics metrics;
    io::api_handler api{calls, events, clock, metrics, [] { return std::string{"m 1\n"}; }};
    std::unique_ptr<io::http_server> server{*io::start_http_server({"127.0.0.1", 0, 2}, api)};
    std::unique_ptr<io::http_client> client{io::make_http_client(clock, 4)};

    io::http_call make_call(const std::string& target, const std::string& body = "")
    {
        io::http_call call;
        call.method = body.empty() ? "GET" : "POST";
        call.address = "127.0.0.1:" + std::to_string(server->port());
        call.target = target;
        call.headers = {{"X-Caller", "kente"}, {"X-Request-Id", "q1"}};
        call.body = body.empty() ? nullptr : std::make_shared<const std::string>(body);
        call.deadline = clock.now() + call_timeout;
        call.max_answer_bytes = cm::config::max_body_bytes;
        return call;
    }
    std::future<io::http_result> start(io::http_call call)
    {
        auto done = std::make_shared<std::promise<io::http_result>>();
        client->start(std::move(call),
                      [done](io::http_result r) { done->set_value(std::move(r)); });
        return done->get_future();
    }
    void answer(const cm::request_answer& a)
    {
        auto call = calls.take(a.handle);
        cr_assert(call.has_value());
        call->respond(io::make_response(a, call->request_id));
    }
};

std::string header(const io::http_result& r, const char* name)
{
    const std::string* const value = io::find_header(r.headers, name);
    return value == nullptr ? "" : *value;
}

} // namespace

Test(api, request_is_forwarded_to_the_core_and_answered)
{
    fixture f;
    auto got = f.start(f.make_call("/v1/services/drape-desk/requests", "quote"));
    const auto arrived = f.events.take<cm::request_arrived>();
    cr_assert_eq(arrived.service.value, "drape-desk");
    cr_assert_eq(*arrived.body, "quote");
    f.answer({arrived.handle, cm::result_code::ok, 201,
              std::make_shared<const std::string>("priced"), ""});
    const auto r = got.get();
    cr_assert_eq(r.status, 201);
    cr_assert_eq(r.body, "priced");
    cr_assert_eq(header(r, "X-Result-Code"), "0");
    cr_assert_eq(header(r, "X-Request-Id"), "q1");
    cr_assert_eq(header(r, "X-Not-Run"), "");
}

Test(api, error_responses_state_whether_the_request_ran)
{
    fixture f;
    const std::string target = "/v1/services/s/requests";
    auto refused = f.start(f.make_call(target, "x"));
    f.answer(
        {f.events.take<cm::request_arrived>().handle, cm::result_code::queue_full, 0, {}, "m"});
    const auto first = refused.get();
    cr_assert_eq(first.status, 503);
    cr_assert_eq(header(first, "X-Not-Run"), "1");
    auto lost = f.start(f.make_call(target, "x"));
    f.answer({f.events.take<cm::request_arrived>().handle,
              cm::result_code::outcome_unknown,
              0,
              {},
              "m"});
    const auto second = lost.get();
    cr_assert_eq(second.status, 504);
    cr_assert_eq(header(second, "X-Not-Run"), "");
    cr_assert_eq(second.body,
                 R"({"code":300,"message":"m","name":"outcome_unknown","not_run":false})");
}

Test(api, excess_requests_are_rejected_before_the_core)
{
    fixture f;
    std::vector<cm::traffic_handle> held;
    for (std::size_t i = 0; i < io::max_open_requests; ++i) {
        held.push_back(f.calls.add({}));
    }
    const auto refused = f.start(f.make_call("/v1/services/drape-desk/requests", "quote")).get();
    cr_assert_eq(header(refused, "X-Result-Code"), "201");
    cr_assert_eq(header(refused, "X-Not-Run"), "1");
    cr_assert_eq(f.metrics.requests_shed.load(), 1U);
    f.calls.take(held.back());
    auto got = f.start(f.make_call("/v1/services/drape-desk/requests", "quote"));
    f.answer({.handle = f.events.take<cm::request_arrived>().handle,
              .code = cm::result_code::ok,
              .status = 200,
              .body = nullptr,
              .message = ""});
    cr_assert_eq(header(got.get(), "X-Result-Code"), "0");
}

Test(api, body_above_the_limit_is_too_large)
{
    fixture f;
    const auto r = f.start(f.make_call("/v1/services/s/requests",
                                       std::string(cm::config::max_body_bytes + 1, 'x')))
                       .get();
    cr_assert_eq(r.status, 413);
    cr_assert_eq(header(r, "X-Result-Code"), "102");
}

Test(api, unknown_route_and_bad_command_are_refused)
{
    fixture f;
    cr_assert_eq(header(f.start(f.make_call("/nowhere")).get(), "X-Result-Code"), "110");
    cr_assert_eq(header(f.start(f.make_call("/v1/jobs", "{}")).get(), "X-Result-Code"), "109");
}

Test(api, command_reaches_the_core)
{
    fixture f;
    auto got = f.start(f.make_call("/v1/jobs?limit=3&prefix=a"));
    const auto arrived = f.events.take<cm::command_arrived>();
    cr_assert_eq(std::get<cm::list_jobs>(arrived.body).limit, 3);
    f.calls.take(arrived.handle)
        ->respond(io::make_response(
            cm::command_answer{arrived.handle, cm::result_code::ok, "", R"({"jobs":[]})"}));
    cr_assert_eq(got.get().body, R"({"jobs":[]})");
}

Test(api, closed_connection_abandons_its_request)
{
    fixture f;
    const auto call =
        f.client->start(f.make_call("/v1/services/s/requests", "x"), [](const io::http_result&) {});
    const auto arrived = f.events.take<cm::request_arrived>();
    f.client->drop(call);
    cr_assert(f.events.take<cm::request_abandoned>().handle == arrived.handle);
    cr_assert_eq(f.calls.size(), 0);
}

Test(api, readiness_reflects_loaded_inputs_and_shutdown)
{
    fixture f;
    cr_assert_eq(f.start(f.make_call("/healthz")).get().status, 200);
    cr_assert_eq(f.start(f.make_call("/readyz")).get().status, 503);
    io::control_snapshot snapshot;
    snapshot.is_ready = true;
    f.metrics.publish(snapshot);
    cr_assert_eq(f.start(f.make_call("/readyz")).get().status, 200);
    f.api.begin_stopping();
    cr_assert_eq(f.start(f.make_call("/readyz")).get().status, 503);
    cr_assert_eq(f.start(f.make_call("/metrics")).get().body, "m 1\n");
}

Test(api, close_rejects_unanswered_requests)
{
    fixture f;
    auto before = f.start(f.make_call("/v1/services/s/requests", "x"));
    (void)f.events.take<cm::request_arrived>();
    f.api.close();
    cr_assert_eq(header(before.get(), "X-Result-Code"), "203");
    const auto after = f.start(f.make_call("/v1/services/s/requests", "x")).get();
    cr_assert_eq(header(after, "X-Result-Code"), "203");
    cr_assert(f.server->wait_until_flushed(call_timeout));
}

Test(api, port_in_use_error_names_the_port)
{
    fixture f;
    const auto port = f.server->port();
    const auto second = io::start_http_server({"127.0.0.1", port, 1}, f.api);
    cr_assert(!second.ok());
    cr_assert(std::string{second.status().message()}.find(std::to_string(port)) !=
              std::string::npos);
}
