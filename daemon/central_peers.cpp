/// \file
/// Sends calls to peers, and receives and answers theirs.
#include "central_peers.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "cuminmoor/central/peer_codec.h"
#include "io_limits.h"

namespace cuminmoor::io {

namespace {

constexpr const char* call_path = "/central/call";
constexpr const char* timeout_header = "X-Patience-Ms";
constexpr millis default_timeout{1'000};

millis parse_timeout(const http_request& request)
{
    const std::string* const text = find_header(request.headers, timeout_header);
    millis timeout = default_timeout;
    if (text != nullptr && !absl::SimpleAtoi(*text, &timeout.count)) {
        timeout = default_timeout;
    }
    return timeout;
}

central::peer_call_ended make_peer_call_ended(central::call_handle handle, std::uint32_t attempt,
                                              const http_result& result)
{
    central::peer_call_ended ended{handle, attempt, result.outcome != http_outcome::not_sent, {}};
    constexpr int http_ok{200};
    if (result.outcome == http_outcome::answered && result.status == http_ok) {
        auto answer = central::decode_answer(result.body);
        if (answer.ok()) {
            ended.answer = *std::move(answer);
        }
    }
    return ended;
}

} // namespace

central_peers::central_peers(const deployment_dependencies& dependencies,
                             std::function<std::string()> metrics_text)
    : dependencies_{dependencies}, metrics_text_{std::move(metrics_text)}
{
}

absl::Status central_peers::start()
{
    const auto& at = dependencies_.process_settings.peer;
    auto server = start_http_server(
        {at.ip, at.port, 1, &dependencies_.context, listener::peers, dependencies_.budget}, *this);
    if (!server.ok()) {
        return server.status();
    }
    server_ = *std::move(server);
    return absl::OkStatus();
}

void central_peers::execute(const central::peer_call& e)
{
    http_call call;
    call.method = "POST";
    call.address = e.address;
    call.target = call_path;
    call.headers.push_back({timeout_header, std::to_string(e.timeout.count)});
    call.body = std::make_shared<const std::string>(central::encode_call(e.call));
    call.deadline = dependencies_.clock.now() + e.timeout;
    call.max_answer_bytes = max_answer_bytes;
    // After a lost submission it is unknown whether the peer accepted it, whatever the response to
    // a resent one says. So the reducer submits again, not the HTTP client.
    call.resendable = e.call.kind != central::call_kind::submit;
    call.is_urgent = e.call.kind == central::call_kind::cancel;
    dependencies_.http.start(
        std::move(call), [this, handle = e.handle, attempt = e.attempt](const http_result& result) {
            dependencies_.sink.post(make_peer_call_ended(handle, attempt, result));
        });
}

bool central_peers::answer(const central::answer_call& e)
{
    const auto found = responders_.find(e.handle);
    if (found == responders_.end()) {
        return false;
    }
    http_response response;
    response.content_type = "application/octet-stream";
    response.body = std::make_shared<const std::string>(central::encode_answer(e.answer));
    response.trusts_client = true;
    found->second(std::move(response));
    responders_.erase(found);
    return true;
}

void central_peers::handle_call(const http_request& request, http_responder respond)
{
    auto call = central::decode_call(*request.body);
    if (!call.ok()) {
        dependencies_.log.add("peer_call_unreadable",
                              {{"reason", std::string{call.status().message()}}});
        constexpr int http_bad_request{400};
        http_response refused;
        refused.status = http_bad_request;
        respond(std::move(refused));
        return;
    }
    const central::call_handle handle = dependencies_.sink.next_handle();
    responders_.emplace(handle, std::move(respond));
    dependencies_.sink.post(
        central::peer_call_received{handle, *std::move(call), parse_timeout(request)});
}

void central_peers::on_request(http_request request, http_responder respond)
{
    if (request.method == "POST" && request.path == call_path) {
        handle_call(request, std::move(respond));
        return;
    }
    http_response response;
    if (request.method == "GET" && request.path == "/metrics") {
        response.content_type = "text/plain";
        response.body = std::make_shared<const std::string>(metrics_text_());
    }
    else {
        constexpr int http_not_found{404};
        response.status = http_not_found;
    }
    respond(std::move(response));
}

void central_peers::on_connection_closed(connection_number /*connection*/) {}

} // namespace cuminmoor::io
