/// \file
/// Sending, taking and answering of peers' calls.
#include "central_peers.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "cuminmoor/central/peer_codec.h"
#include "io_limits.h"

namespace cuminmoor::io {

namespace {

constexpr const char* call_path = "/central/call";
constexpr const char* patience_header = "X-Patience-Ms";
constexpr millis default_patience{1'000};

millis patience_of(const http_request& request)
{
    const std::string* const text = find_header(request.headers, patience_header);
    millis patience = default_patience;
    if (text != nullptr && !absl::SimpleAtoi(*text, &patience.count)) {
        patience = default_patience;
    }
    return patience;
}

central::peer_call_ended read_answer(central::call_handle handle, const http_result& result)
{
    central::peer_call_ended ended{handle, result.outcome != http_outcome::not_sent, {}};
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

central_peers::central_peers(const deployment_parts& parts,
                             std::function<std::string()> metrics_text)
    : parts_{parts}, metrics_text_{std::move(metrics_text)}
{
}

absl::Status central_peers::start()
{
    const auto& at = parts_.s.peer;
    auto server = start_http_server({at.ip, at.port, 1, &parts_.context}, *this);
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
    call.headers.push_back({patience_header, std::to_string(e.timeout.count)});
    call.body = std::make_shared<const std::string>(central::encode_call(e.call));
    call.deadline = parts_.clock.now() + e.timeout;
    call.max_answer_bytes = max_answer_bytes;
    // A submission that may have been taken in is in doubt, whatever the answer to a second one
    // says; so the reducer hands it in again, not the client.
    call.resendable = e.call.kind != central::call_kind::submit;
    parts_.http.start(std::move(call), [this, handle = e.handle](const http_result& result) {
        parts_.sink.post(read_answer(handle, result));
    });
}

bool central_peers::answer(const central::answer_call& e)
{
    const auto found = open_.find(e.handle);
    if (found == open_.end()) {
        return false;
    }
    http_response response;
    response.content_type = "application/octet-stream";
    response.body = std::make_shared<const std::string>(central::encode_answer(e.answer));
    found->second(std::move(response));
    open_.erase(found);
    return true;
}

void central_peers::take_call(const http_request& request, http_responder respond)
{
    auto call = central::decode_call(*request.body);
    if (!call.ok()) {
        parts_.log.add("peer_call_unreadable", {{"reason", std::string{call.status().message()}}});
        constexpr int http_bad_request{400};
        http_response refused;
        refused.status = http_bad_request;
        respond(std::move(refused));
        return;
    }
    const central::call_handle handle = parts_.sink.next_handle();
    open_.emplace(handle, std::move(respond));
    parts_.sink.post(central::peer_call_received{handle, *std::move(call), patience_of(request)});
}

void central_peers::on_request(http_request request, http_responder respond)
{
    if (request.method == "POST" && request.path == call_path) {
        take_call(request, std::move(respond));
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
