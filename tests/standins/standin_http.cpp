/// \file
/// The stand-ins' HTTP server on RESTinio; the only stand-in file that includes it.
#include "standin_http.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <csignal>
#include <iostream>
#include <stdexcept>
#include <utility>
#include <vector>

#include <restinio/all.hpp>

namespace standin {

namespace {

using server_traits = restinio::default_single_thread_traits_t;
using server = restinio::http_server_t<server_traits>;

/// Stand-ins hold answers back on purpose, so the server must not time them out.
constexpr auto handle_request_limit = std::chrono::minutes{10};
constexpr std::size_t concurrent_accepts = 8;

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

http_call read_call(const restinio::request_t& request)
{
    http_call call;
    call.method = request.header().method().c_str();
    call.path = std::string{request.header().path()};
    call.body = request.body();
    request.header().for_each_field([&call](const auto& field) {
        call.headers[to_lower(std::string{field.name()})] = std::string{field.value()};
    });
    return call;
}

restinio::http_status_line_t status_line(int status)
{
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)}, "Answer"};
}

template <typename Builder>
void append_headers(Builder& response, const http_reply& reply)
{
    response.append_header("Content-Type", "application/json");
    for (const auto& [name, value] : reply.headers) {
        response.append_header(name, value);
    }
}

void send_whole(const restinio::request_handle_t& request, http_reply reply)
{
    auto response = request->create_response(status_line(reply.status));
    append_headers(response, reply);
    response.set_body(std::move(reply.body));
    response.done();
}

void send_truncated(const restinio::request_handle_t& request, http_reply reply)
{
    auto response =
        request->create_response<restinio::user_controlled_output_t>(status_line(reply.status));
    append_headers(response, reply);
    response.connection_close();
    response.set_content_length(reply.body.size());
    reply.body.resize(reply.body.size() / 2);
    response.append_body(std::move(reply.body));
    response.done();
}

restinio::request_handling_status_t handle(const http_handler& handler,
                                           const restinio::request_handle_t& request)
{
    const auto fate = handler(read_call(*request), [request](http_reply reply) {
        if (reply.truncated) {
            send_truncated(request, std::move(reply));
        }
        else {
            send_whole(request, std::move(reply));
        }
    });
    if (fate == connection_fate::dropped) {
        // RESTinio closes the connection without an answer when the handler throws.
        throw std::runtime_error("connection dropped on purpose");
    }
    return restinio::request_accepted();
}

} // namespace

std::string to_string(const endpoint& at)
{
    return at.address + ":" + std::to_string(at.port);
}

absl::StatusOr<endpoint> parse_endpoint(const std::string& text)
{
    endpoint parsed;
    const auto colon = text.rfind(':');
    if (colon != std::string::npos) {
        parsed.address = text.substr(0, colon);
        const auto* const end = text.data() + text.size();
        const auto result = std::from_chars(text.data() + colon + 1, end, parsed.port);
        if (result.ec == std::errc{} && result.ptr == end && parsed.port != 0 &&
            !parsed.address.empty()) {
            return parsed;
        }
    }
    return absl::InvalidArgumentError("address \"" + text + "\": write it as a.b.c.d:port");
}

endpoint offset_by(const endpoint& first, std::uint16_t n)
{
    return {first.address, static_cast<std::uint16_t>(first.port + n)};
}

std::string http_call::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
}

struct http_host::impl {
    restinio::asio_ns::io_context context;
    restinio::asio_ns::signal_set signals{context, SIGTERM, SIGINT};
    std::vector<std::unique_ptr<server>> servers;
    std::size_t bound{0};
    bool bind_failed{false};
    std::vector<std::function<void()>> on_ready;

    void note_bound()
    {
        ++bound;
        if (bound == servers.size()) {
            for (const auto& action : on_ready) {
                action();
            }
        }
    }

    void note_bind_failure(const std::exception_ptr& cause)
    {
        bind_failed = true;
        try {
            std::rethrow_exception(cause);
        }
        catch (const std::exception& e) {
            std::cerr << "level=error event=bind_failed cause=\"" << e.what() << "\"\n";
        }
        context.stop();
    }
};

http_host::http_host() : impl_{std::make_unique<impl>()} {}

http_host::~http_host() = default;

void http_host::listen(const endpoint& at, http_handler handler)
{
    auto configure = [&at, &handler](auto& settings) {
        settings.address(at.address)
            .port(at.port)
            .concurrent_accepts_count(concurrent_accepts)
            .handle_request_timeout(handle_request_limit)
            .request_handler([handler](const restinio::request_handle_t& request) {
                return handle(handler, request);
            });
    };
    impl_->servers.push_back(
        std::make_unique<server>(restinio::external_io_context(impl_->context), configure));
}

void http_host::after(std::chrono::milliseconds delay, std::function<void()> action)
{
    if (delay <= std::chrono::milliseconds::zero()) {
        action();
        return;
    }
    auto timer = std::make_shared<restinio::asio_ns::steady_timer>(impl_->context, delay);
    timer->async_wait([timer, action = std::move(action)](const auto& error) {
        if (!error) {
            action();
        }
    });
}

void http_host::when_ready(std::function<void()> action)
{
    impl_->on_ready.push_back(std::move(action));
}

int http_host::run()
{
    impl_->signals.async_wait(
        [this](const auto& /*error*/, int /*signal*/) { impl_->context.stop(); });
    for (auto& each : impl_->servers) {
        each->open_async(
            [this] { impl_->note_bound(); },
            [this](const std::exception_ptr& cause) { impl_->note_bind_failure(cause); });
    }
    impl_->context.run();
    return impl_->bind_failed ? 1 : 0;
}

} // namespace standin
