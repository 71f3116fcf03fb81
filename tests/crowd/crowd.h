/// \file
/// A crowd of clients that don't behave: many loopback connections, driven by one thread.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace crowd {

using std::chrono::milliseconds;

/// How each client of a crowd behaves.
struct client_behaviour {
    /// What it sends at most; then it stays open.
    std::string text;
    /// Most bytes of one write.
    std::size_t piece_bytes{65'536};
    /// Least time between two writes.
    milliseconds pause{0};
    /// It reads a byte with each write; else it reads nothing.
    bool reads_slowly{false};
};

/// Sends a text over a connection of its own.
/// \return what came back until the connection was closed, or nothing for 5 s.
std::string exchange(const std::string& address, const std::string& text);

/// Connects and sends; the connections stay open until its end.
class client_crowd {
public:
    /// \param address "127.x.y.z:port"; anything else is refused.
    client_crowd(const std::string& address, std::size_t clients, client_behaviour behaviour);
    ~client_crowd();
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;
    client_crowd(client_crowd&&) = delete;
    client_crowd& operator=(client_crowd&&) = delete;

    /// Lets the clients send until each has sent its text or lost its connection, `may_go_on` says
    /// no, or `limit` has passed.
    void run(const std::function<bool()>& may_go_on, milliseconds limit);

private:
    struct client {
        int socket{-1};
        std::size_t sent{0};
        std::int64_t next_write_ms{0};
    };

    void connect_all(const std::string& address, std::size_t clients);
    /// \return true while the client has something to send.
    bool advance(client& c, std::int64_t now_ms);
    void close_one(client& c);

    client_behaviour behaviour_;
    std::vector<client> clients_;
};

} // namespace crowd
