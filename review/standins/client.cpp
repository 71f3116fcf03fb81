/// \file
/// Implementation of the clients' HTTP calls.
#include "client.h"

#include <array>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "record.h"

namespace review {

namespace {

/// Closes the socket at the end of its scope.
class socket_guard {
public:
    explicit socket_guard(int fd) : fd_{fd} {}
    ~socket_guard() { close(fd_); }
    socket_guard(const socket_guard&) = delete;
    socket_guard& operator=(const socket_guard&) = delete;
    socket_guard(socket_guard&&) = delete;
    socket_guard& operator=(socket_guard&&) = delete;

private:
    int fd_;
};

bool connect_to(int fd, const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    return connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
}

std::string format_call(const http_call& call)
{
    return call.method + " " + call.path + " HTTP/1.1\r\nHost: " + call.host +
           "\r\nX-Deadline-Ms: " + std::to_string(call.timeout_ms) +
           "\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(call.body.size()) + "\r\nConnection: close\r\n\r\n" + call.body;
}

bool send_all(int fd, const std::string& text)
{
    std::size_t sent{0};
    while (sent < text.size()) {
        const ssize_t n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// \return true if `text` holds a whole response, which is then parsed.
bool parse_answer(const std::string& text, http_answer& answer)
{
    const auto head_end = text.find("\r\n\r\n");
    if (head_end == std::string::npos) {
        return false;
    }
    const std::string field{"Content-Length: "};
    const auto at = text.find(field);
    constexpr std::size_t after_head{4};
    const std::size_t body_bytes =
        at == std::string::npos || at > head_end ? 0 : std::stoul(text.substr(at + field.size()));
    if (text.size() < head_end + after_head + body_bytes) {
        return false;
    }
    constexpr std::size_t status_at{9};
    answer.status = std::stoi(text.substr(status_at, 3));
    answer.body = text.substr(head_end + after_head, body_bytes);
    return true;
}

} // namespace

http_answer send_call(const http_call& call)
{
    http_answer answer;
    const std::int64_t deadline = now_ms() + call.timeout_ms;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const socket_guard guard{fd};
    if (!connect_to(fd, call.address) || !send_all(fd, format_call(call))) {
        return answer;
    }
    std::string text;
    std::array<char, 16'384> chunk{};
    while (!parse_answer(text, answer)) {
        const std::int64_t left = deadline - now_ms();
        pollfd waiting{fd, POLLIN, 0};
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            return {};
        }
        const ssize_t n = recv(fd, chunk.data(), chunk.size(), 0);
        if (n <= 0) {
            return {};
        }
        text.append(chunk.data(), static_cast<std::size_t>(n));
    }
    return answer;
}

} // namespace review
