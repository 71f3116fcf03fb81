/// \file
/// Implementation of the stand-ins' HTTP server.
#include "http_server.h"

#include <array>
#include <sstream>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <unistd.h>

namespace review {

namespace {

using asio::ip::tcp;

std::string to_lower(std::string text)
{
    for (char& c : text) {
        c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    return text;
}

void parse_target(const std::string& target, http_request& request)
{
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark == std::string::npos) {
        return;
    }
    std::istringstream parameters{target.substr(mark + 1)};
    std::string each;
    while (std::getline(parameters, each, '&')) {
        const auto equals = each.find('=');
        const bool has_value = equals != std::string::npos;
        request.query[each.substr(0, equals)] = has_value ? each.substr(equals + 1) : "";
    }
}

/// Parses the request line and the header fields.
http_request parse_head(const std::string& head)
{
    http_request request;
    std::istringstream lines{head};
    std::string target;
    std::string version;
    lines >> request.method >> target >> version;
    parse_target(target, request);
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        value.erase(value.find_last_not_of("\r ") + 1);
        request.headers[to_lower(line.substr(0, colon))] = value;
    }
    return request;
}

const std::string end_of_head{"\r\n\r\n"};

} // namespace

std::string http_request::parameter(const std::string& name, const std::string& otherwise) const
{
    const auto found = query.find(name);
    return found == query.end() ? otherwise : found->second;
}

std::string http_request::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
}

/// One connection; handles one request at a time.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    http_connection(http_server& server, tcp::socket socket)
        : server_{&server}, socket_{std::move(socket)}
    {
    }

    void read()
    {
        socket_.async_read_some(
            asio::buffer(chunk_),
            [self = shared_from_this()](const asio::error_code& error, std::size_t bytes) {
                self->on_read(error, bytes);
            });
    }

    /// Nothing passes any more.
    void silence() { is_silent_ = true; }

    /// Closes the connection with a reset.
    void reset()
    {
        server_ = nullptr;
        asio::error_code ignored;
        socket_.set_option(asio::socket_base::linger{true, 0}, ignored);
        socket_.close(ignored);
    }

private:
    void on_read(const asio::error_code& error, std::size_t bytes)
    {
        if (server_ == nullptr) {
            return;
        }
        if (error) {
            server_->connections_.erase(shared_from_this());
            return;
        }
        input_.append(chunk_.data(), bytes);
        handle_next();
        read();
    }

    void handle_next()
    {
        const auto head_bytes = input_.find(end_of_head);
        if (is_handling_ || head_bytes == std::string::npos) {
            return;
        }
        http_request request = parse_head(input_.substr(0, head_bytes + 2));
        const std::string length = request.header("content-length");
        const std::size_t body_bytes = length.empty() ? 0 : std::stoul(length);
        const std::size_t body_at = head_bytes + end_of_head.size();
        if (input_.size() < body_at + body_bytes) {
            return;
        }
        request.body = input_.substr(body_at, body_bytes);
        input_.erase(0, body_at + body_bytes);
        is_handling_ = true;
        if (!server_->is_silent_ && !is_silent_) {
            server_->handler_(request, [self = shared_from_this()](int status, const auto& body) {
                self->reply(status, body);
            });
        }
    }

    void reply(int status, const std::string& body)
    {
        if (server_ == nullptr || server_->is_silent_ || is_silent_) {
            return;
        }
        auto output = std::make_shared<std::string>(
            "HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Type: application/json\r\n" +
            "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        asio::async_write(
            socket_, asio::buffer(*output),
            [self = shared_from_this(), output](const asio::error_code& error, std::size_t) {
                self->is_handling_ = false;
                if (!error && self->server_ != nullptr) {
                    self->handle_next();
                }
            });
    }

    http_server* server_;
    tcp::socket socket_;
    std::array<char, 65'536> chunk_{};
    std::string input_;
    bool is_handling_{false};
    bool is_silent_{false};
};

http_server::http_server(asio::io_context& loop, std::uint16_t port, request_handler handler)
    : loop_{loop}, port_{port}, handler_{std::move(handler)}, acceptor_{loop}
{
    listen();
}

http_server::~http_server()
{
    kill();
}

void http_server::kill()
{
    asio::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& each : std::exchange(connections_, {})) {
        each->reset();
    }
}

void http_server::restart()
{
    is_silent_ = false;
    listen();
}

void http_server::silence_open_connections()
{
    for (const auto& each : connections_) {
        each->silence();
    }
}

std::string http_server::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

void http_server::listen()
{
    acceptor_ = tcp::acceptor{loop_};
    acceptor_.open(tcp::v4());
    acceptor_.set_option(asio::socket_base::reuse_address{true});
    acceptor_.bind({asio::ip::address_v4::loopback(), port_});
    acceptor_.listen();
    accept();
}

void http_server::accept()
{
    acceptor_.async_accept([this](const asio::error_code& error, tcp::socket socket) {
        if (error) {
            return;
        }
        socket.set_option(tcp::no_delay{true});
        const auto added = std::make_shared<http_connection>(*this, std::move(socket));
        connections_.insert(added);
        added->read();
        accept();
    });
}

std::uint16_t free_port()
{
    // Below the ports that outgoing connections take, so that an address stays free while a process
    // is down. Each process begins elsewhere.
    constexpr unsigned first{12'000};
    constexpr unsigned count{16'000};
    constexpr unsigned ports_per_process{64};
    static unsigned next{static_cast<unsigned>(getpid()) * ports_per_process};
    asio::io_context loop;
    for (unsigned tries{0}; tries < count; ++tries) {
        const auto port = static_cast<std::uint16_t>(first + next++ % count);
        tcp::acceptor probe{loop};
        asio::error_code error;
        probe.open(tcp::v4());
        probe.set_option(asio::socket_base::reuse_address{true});
        probe.bind({asio::ip::address_v4::loopback(), port}, error);
        if (!error) {
            return port;
        }
    }
    return 0;
}

} // namespace review
