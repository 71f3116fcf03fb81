/// \file
/// Implementation of the crowd on non-blocking sockets.
#include "crowd.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace crowd {

namespace {

constexpr milliseconds round_pause{5};

std::int64_t now_ms()
{
    const auto time = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(time).count();
}

/// Throws unless it is a loopback address.
sockaddr_in parse_loopback(const std::string& address)
{
    const auto colon = address.find(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    const bool is_read = inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr) == 1;
    constexpr std::uint32_t loopback_net{127};
    constexpr unsigned net_shift{24};
    if (!is_read || ntohl(to.sin_addr.s_addr) >> net_shift != loopback_net) {
        throw std::invalid_argument{address + " is no loopback address"};
    }
    return to;
}

const sockaddr* raw_address(const sockaddr_in& of)
{
    return static_cast<const sockaddr*>(static_cast<const void*>(&of));
}

} // namespace

std::string exchange(const std::string& address, const std::string& text)
{
    const sockaddr_in to = parse_loopback(address);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    constexpr timeval limit{.tv_sec = 5, .tv_usec = 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    std::size_t sent{0};
    ssize_t bytes{connect(fd, raw_address(to), sizeof to) == 0 ? 1 : 0};
    while (bytes > 0 && sent < text.size()) {
        bytes = send(fd, &text[sent], text.size() - sent, MSG_NOSIGNAL);
        sent += static_cast<std::size_t>(std::max<ssize_t>(0, bytes));
    }
    std::string answer;
    std::array<char, 4'096> input{};
    while ((bytes = recv(fd, input.data(), input.size(), 0)) > 0) {
        answer.append(input.data(), static_cast<std::size_t>(bytes));
    }
    close(fd);
    return answer;
}

client_crowd::client_crowd(const std::string& address, std::size_t clients,
                           client_behaviour behaviour)
    : behaviour_{std::move(behaviour)}
{
    connect_all(address, clients);
}

client_crowd::~client_crowd()
{
    for (client& c : clients_) {
        close_one(c);
    }
}

void client_crowd::connect_all(const std::string& address, std::size_t clients)
{
    const sockaddr_in to = parse_loopback(address);
    for (std::size_t i{0}; i < clients; ++i) {
        client c;
        c.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (c.socket >= 0 && connect(c.socket, raw_address(to), sizeof to) != 0 &&
            errno != EINPROGRESS) {
            close_one(c);
        }
        clients_.push_back(c);
    }
}

void client_crowd::close_one(client& c)
{
    if (c.socket >= 0) {
        close(c.socket);
        c.socket = -1;
    }
}

bool client_crowd::advance(client& c, std::int64_t now_ms)
{
    if (c.socket < 0 || c.sent == behaviour_.text.size()) {
        return false;
    }
    if (now_ms < c.next_write_ms) {
        return true;
    }
    if (behaviour_.reads_slowly) {
        char byte{0};
        (void)recv(c.socket, &byte, sizeof byte, MSG_DONTWAIT);
    }
    const std::size_t bytes = std::min(behaviour_.piece_bytes, behaviour_.text.size() - c.sent);
    const ssize_t written =
        send(c.socket, &behaviour_.text[c.sent], bytes, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (written > 0) {
        c.sent += static_cast<std::size_t>(written);
        c.next_write_ms = now_ms + behaviour_.pause.count();
    }
    else if (errno != EAGAIN && errno != ENOTCONN) {
        close_one(c);
    }
    return true;
}

void client_crowd::run(const std::function<bool()>& may_go_on, milliseconds limit)
{
    const std::int64_t end = now_ms() + limit.count();
    bool is_sending{true};
    while (is_sending && may_go_on() && now_ms() < end) {
        is_sending = false;
        for (client& c : clients_) {
            is_sending = advance(c, now_ms()) || is_sending;
        }
        std::this_thread::sleep_for(round_pause);
    }
}

} // namespace crowd
