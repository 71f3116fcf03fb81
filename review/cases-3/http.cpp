/// \file
/// Implementation of the HTTP server and client.
#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace review {

namespace {

constexpr std::size_t read_bytes{65'536};

sockaddr_in loopback_address(std::uint16_t port)
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return at;
}

sockaddr* as_generic(sockaddr_in& at)
{
    return reinterpret_cast<sockaddr*>(&at);
}

std::uint16_t port_of(int socket)
{
    sockaddr_in at{};
    socklen_t size{sizeof at};
    getsockname(socket, as_generic(at), &size);
    return ntohs(at.sin_port);
}

bool read_some(int socket, std::string& buffer)
{
    std::array<char, read_bytes> bytes{};
    const ssize_t got = recv(socket, bytes.data(), bytes.size(), 0);
    if (got <= 0) {
        return false;
    }
    buffer.append(bytes.data(), static_cast<std::size_t>(got));
    return true;
}

bool write_all(int socket, const std::string& text)
{
    std::size_t done{0};
    while (done < text.size()) {
        const ssize_t sent = send(socket, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// A message as read from a socket: its first line, its headers and its body.
struct http_message {
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::string body;
};

void parse_head(const std::string& head, http_message& message)
{
    std::istringstream lines{head};
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        if (message.first_line.empty()) {
            message.first_line = line;
        }
        else if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers[lower_case(line.substr(0, colon))] =
                value == std::string::npos ? std::string{} : line.substr(value);
        }
    }
}

/// \param buffer bytes that were read and not used yet.
bool read_message(int socket, std::string& buffer, http_message& message)
{
    constexpr std::size_t end_length{4};
    std::size_t end = buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!read_some(socket, buffer)) {
            return false;
        }
        end = buffer.find("\r\n\r\n");
    }
    parse_head(buffer.substr(0, end), message);
    buffer.erase(0, end + end_length);
    const auto length = message.headers.find("content-length");
    const std::size_t size =
        length == message.headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
    while (buffer.size() < size) {
        if (!read_some(socket, buffer)) {
            return false;
        }
    }
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}

http_request make_request(http_message message)
{
    http_request request;
    std::istringstream line{message.first_line};
    std::string target;
    std::string version;
    std::string rest;
    line >> request.method >> target >> version >> rest;
    // A request line has three words.
    request.is_malformed = !version.starts_with("HTTP/") || !rest.empty();
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos) {
        std::istringstream fields{target.substr(mark + 1)};
        std::string field;
        while (std::getline(fields, field, '&')) {
            const std::size_t equals = field.find('=');
            if (equals != std::string::npos) {
                request.query[field.substr(0, equals)] = field.substr(equals + 1);
            }
        }
    }
    request.headers = std::move(message.headers);
    request.body = std::move(message.body);
    return request;
}

std::string format_response(const http_response& response)
{
    return "HTTP/1.1 " + std::to_string(response.status) +
           " -\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

void set_no_delay(int socket)
{
    const int on{1};
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void set_timeouts(int socket, int timeout_ms)
{
    constexpr int ms_per_second{1'000};
    constexpr int us_per_ms{1'000};
    timeval limit{};
    limit.tv_sec = timeout_ms / ms_per_second;
    limit.tv_usec = static_cast<suseconds_t>(timeout_ms % ms_per_second) * us_per_ms;
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

} // namespace

http_server::~http_server()
{
    stop();
}

std::string http_server::address() const
{
    return std::string{loopback} + ":" + std::to_string(port_);
}

void http_server::start(std::uint16_t port)
{
    constexpr int backlog{256};
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on{1};
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = loopback_address(port);
    const bool listens =
        bind(listener_, as_generic(at), sizeof at) == 0 && listen(listener_, backlog) == 0;
    if (!listens) {
        close(listener_);
        listener_ = -1;
        return;
    }
    port_ = port_of(listener_);
    is_stopping_ = false;
    acceptor_ = std::thread{[this, listener = listener_] { accept_connections(listener); }};
}

void http_server::accept_connections(int listener)
{
    while (true) {
        const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock{mutex_};
        if (connection < 0 || is_stopping_) {
            if (connection >= 0) {
                close(connection);
            }
            return;
        }
        set_no_delay(connection);
        connections_.insert(connection);
        threads_.emplace_back([this, connection] { serve(connection); });
    }
}

void http_server::serve(int connection)
{
    std::string buffer;
    while (true) {
        http_message message;
        if (!read_message(connection, buffer, message)) {
            break;
        }
        const http_request request = make_request(std::move(message));
        constexpr int http_bad_request{400};
        const http_response response =
            request.is_malformed ? http_response{http_bad_request, "{}"} : handle_(request);
        if (response.status == 0 || !write_all(connection, format_response(response))) {
            break;
        }
    }
    const std::lock_guard lock{mutex_};
    connections_.erase(connection);
    close(connection);
}

void http_server::stop()
{
    if (listener_ < 0) {
        return;
    }
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock{mutex_};
        is_stopping_ = true;
        shutdown(listener_, SHUT_RDWR);
        const linger reset{1, 0};
        for (const int each : connections_) {
            setsockopt(each, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            shutdown(each, SHUT_RDWR);
        }
    }
    acceptor_.join();
    close(listener_);
    listener_ = -1;
    {
        const std::lock_guard lock{mutex_};
        threads.swap(threads_);
    }
    for (std::thread& each : threads) {
        each.join();
    }
}

http_response send_call(const http_call& call)
{
    http_response response;
    const std::size_t colon = call.address.find(':');
    const auto port = static_cast<std::uint16_t>(
        std::strtoul(call.address.substr(colon + 1).c_str(), nullptr, 10));
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    set_timeouts(connection, call.timeout_ms);
    set_no_delay(connection);
    sockaddr_in at = loopback_address(port);
    std::string text = call.method + " " + call.path + " HTTP/1.1\r\nHost: " + call.host +
                       "\r\nX-Deadline-Ms: " + std::to_string(call.timeout_ms) +
                       "\r\nConnection: close\r\n";
    text +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(call.body.size()) +
        "\r\n\r\n" + call.body;
    std::string buffer;
    http_message message;
    const bool is_answered = connect(connection, as_generic(at), sizeof at) == 0 &&
                             write_all(connection, text) &&
                             read_message(connection, buffer, message);
    close(connection);
    if (is_answered) {
        std::istringstream line{message.first_line};
        std::string version;
        line >> version >> response.status;
        response.body = message.body;
    }
    return response;
}

std::uint16_t free_port()
{
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = loopback_address(0);
    (void)bind(probe, as_generic(at), sizeof at);
    const std::uint16_t port = port_of(probe);
    close(probe);
    return port;
}

} // namespace review
