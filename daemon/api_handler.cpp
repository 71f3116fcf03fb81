/// \file
/// Routes HTTP requests.
#include "api_handler.h"

#include <ctime>
#include <utility>

#include "answers.h"
#include "caller_request.h"
#include "command_request.h"
#include "cuminmoor/config.h"
#include "cuminmoor/status.h"
#include "io_limits.h"

namespace cuminmoor::io {

namespace {

constexpr int http_ok{200};
constexpr int http_unavailable{503};

http_response make_fault_response(const absl::Status& fault)
{
    return make_error_response(code_of(fault), std::string{fault.message()});
}

bool is_probe(const http_request& r)
{
    return r.method == "GET" &&
           (r.path == "/healthz" || r.path == "/readyz" || r.path == "/metrics");
}

open_call make_call(open_call_kind kind, const http_request& request, http_responder respond)
{
    open_call call;
    call.kind = kind;
    call.respond = std::move(respond);
    call.connection = request.connection;
    call.target = request.method + " " + request.path;
    if (const std::string* const caller = find_header(request.headers, "X-Caller")) {
        call.caller = *caller;
    }
    call.arrived_at = measuring_clock::now();
    return call;
}

} // namespace

api_handler::api_handler(open_calls& calls, event_sink& sink, clock_source& clock,
                         metrics& process_metrics, std::function<std::string()> metrics_text)
    : calls_{calls}, sink_{sink}, clock_{clock}, metrics_{process_metrics}, metrics_text_{std::move(
                                                                                metrics_text)}
{
}

void api_handler::on_request(http_request request, http_responder respond)
{
    if (is_probe(request)) {
        on_probe(request, respond);
        return;
    }
    if (request.body->size() > config::max_body_bytes) {
        respond(make_error_response(result_code::too_large,
                                    "the body has " + std::to_string(request.body->size()) +
                                        " bytes, at most " +
                                        std::to_string(config::max_body_bytes) + " are allowed"));
        return;
    }
    const auto service = match_request_path(request.path);
    if (service && request.method == "POST") {
        on_caller_request(request, *service, std::move(respond));
        return;
    }
    on_command(request, std::move(respond));
}

void api_handler::on_probe(const http_request& request, const http_responder& respond)
{
    if (request.path == "/metrics") {
        respond(make_text_response(http_ok, metrics_text_()));
        return;
    }
    if (request.path == "/healthz") {
        respond(make_text_response(http_ok, "ok\n"));
        return;
    }
    if (stopping_) {
        respond(make_text_response(http_unavailable, "stopping\n"));
        return;
    }
    const bool ready = metrics_.snapshot()->is_ready;
    respond(ready ? make_text_response(http_ok, "ready\n")
                  : make_text_response(http_unavailable,
                                       "waiting for the VM list and the configuration\n"));
}

void api_handler::on_caller_request(const http_request& request, const std::string& service,
                                    http_responder respond)
{
    auto parsed = parse_caller_request(request, service, clock_.now());
    if (!parsed.ok()) {
        respond(make_fault_response(parsed.status()));
        return;
    }
    if (calls_.size() >= max_open_requests) {
        ++metrics_.requests_shed;
        respond(make_error_response(result_code::queue_full,
                                    std::to_string(max_open_requests) +
                                        " requests are open at this entry VM; try another one"));
        return;
    }
    open_call call = make_call(open_call_kind::request, request, std::move(respond));
    call.request_id = parsed->id.value;
    forward(std::move(call), [arrived = *std::move(parsed)](traffic_handle handle) mutable {
        arrived.handle = handle;
        return event{std::move(arrived)};
    });
}

void api_handler::on_command(const http_request& request, http_responder respond)
{
    auto parsed = parse_command(request, std::time(nullptr));
    if (!parsed) {
        respond(make_error_response(result_code::unknown_route,
                                    request.method + " " + request.path +
                                        " is not served; docs/WIRE.md lists the routes"));
        return;
    }
    if (!parsed->ok()) {
        respond(make_fault_response(parsed->status()));
        return;
    }
    forward(make_call(open_call_kind::command, request, std::move(respond)),
            [body = **std::move(parsed)](traffic_handle handle) mutable {
                return event{command_arrived{handle, std::move(body)}};
            });
}

void api_handler::forward(open_call call, const std::function<event(traffic_handle)>& make_event)
{
    const traffic_handle handle = calls_.add(std::move(call));
    // Checked after the call was added, so that either `close` or this thread rejects the call.
    if (closed_) {
        reject_after_close(handle);
        return;
    }
    sink_.post(make_event(handle));
}

void api_handler::reject_after_close(traffic_handle handle)
{
    if (auto call = calls_.take(handle)) {
        call->respond(
            make_error_response(result_code::shutting_down, "this entry VM is shutting down"));
    }
}

void api_handler::close()
{
    stopping_ = true;
    closed_ = true;
    for (const traffic_handle handle : calls_.handles()) {
        reject_after_close(handle);
    }
}

void api_handler::on_connection_closed(connection_number connection)
{
    for (const traffic_handle handle : calls_.close_connection(connection)) {
        sink_.post(request_abandoned{handle});
    }
}

} // namespace cuminmoor::io
