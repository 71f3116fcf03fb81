/// \file
/// Listens, accepts, and ends connections that last too long or find no place.
#include "loop_http_server.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "io_limits.h"
#include "loop_http_connection.h"
#include "system_clock.h"

namespace cuminmoor::io {

namespace {

using asio::ip::tcp;

/// Budget of a server that is given none.
constexpr budget_limits default_limits{std::size_t{64} << 20U, max_server_connections};

class loop_http_server final : public http_server {
public:
    loop_http_server(const http_server_options& options, http_handler& handler)
        : own_budget_{default_limits}, group_{handler,
                                              options.budget != nullptr ? *options.budget
                                                                        : own_budget_,
                                              clock_, options.at},
          acceptor_{*options.context}, sweep_timer_{*options.context}, retry_timer_{
                                                                           *options.context}
    {
    }
    ~loop_http_server() override { stop(); }
    loop_http_server(const loop_http_server&) = delete;
    loop_http_server& operator=(const loop_http_server&) = delete;
    loop_http_server(loop_http_server&&) = delete;
    loop_http_server& operator=(loop_http_server&&) = delete;

    /// Throws what Asio throws when the address cannot be bound.
    void start(const http_server_options& options)
    {
        const tcp::endpoint at{asio::ip::make_address(options.ip), options.port};
        acceptor_.open(at.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address{true});
        asio::error_code ignored;
        // Connections inherit it: what waits unread in the system counts as memory, too.
        acceptor_.set_option(asio::socket_base::receive_buffer_size{receive_buffer_bytes}, ignored);
        acceptor_.bind(at);
        acceptor_.listen();
        acceptor_.non_blocking(true);
        port_ = acceptor_.local_endpoint().port();
        wait_for_connections();
    }

    [[nodiscard]] std::uint16_t port() const override { return port_; }
    [[nodiscard]] bool wait_until_flushed(millis /*limit*/) override { return is_flushed(); }
    [[nodiscard]] bool is_flushed() override { return group_.unflushed == 0; }
    [[nodiscard]] std::size_t open_connections() const override
    {
        return group_.connections.size();
    }
    void stop() override
    {
        running_.reset();
        asio::error_code ignored;
        acceptor_.close(ignored);
        sweep_timer_.cancel();
        retry_timer_.cancel();
        for (const auto& [number, c] : group_.connections) {
            group_.budget.remove(number);
            c->abandon();
        }
        group_.connections.clear();
    }

private:
    /// \return a handler that does nothing after `stop`, also if it was queued before.
    auto if_running(std::function<void()> action)
    {
        return [running = std::weak_ptr<const bool>{running_},
                action = std::move(action)](asio::error_code failed) {
            if (!failed && !running.expired()) {
                action();
            }
        };
    }

    void wait_for_connections()
    {
        acceptor_.async_wait(tcp::acceptor::wait_read, if_running([this] { accept_waiting(); }));
    }

    void accept_waiting()
    {
        for (std::size_t i{0}; i < max_accepts_per_pass; ++i) {
            asio::error_code failed;
            tcp::socket socket = acceptor_.accept(failed);
            if (failed == asio::error::would_block || failed == asio::error::try_again) {
                break;
            }
            if (failed && failed != asio::error::connection_aborted) {
                group_.close_first();
                retry_later();
                return;
            }
            if (!failed) {
                add(std::move(socket));
            }
        }
        wait_for_connections();
    }

    /// Without a free descriptor or memory for it the connection that waits would be reported again
    /// at once.
    void retry_later()
    {
        retry_timer_.expires_after(std::chrono::milliseconds{accept_retry_time.count});
        retry_timer_.async_wait(if_running([this] { wait_for_connections(); }));
    }

    void add(tcp::socket socket)
    {
        if (!group_.budget.has_place(group_.at)) {
            group_.budget.count_refusal(client_limit::connections);
            if (!group_.close_first()) {
                return;
            }
        }
        asio::error_code ignored;
        socket.non_blocking(true, ignored);
        socket.set_option(tcp::no_delay{true}, ignored);
        const connection_number number = group_.budget.add(group_.at, clock_.now());
        const auto c = std::make_shared<loop_http_connection>(std::move(socket), group_, number);
        group_.connections.emplace(number, c);
        c->start();
        sweep_later();
    }

    void sweep_later()
    {
        if (is_sweep_due_ || group_.connections.empty()) {
            return;
        }
        is_sweep_due_ = true;
        sweep_timer_.expires_after(std::chrono::milliseconds{sweep_period.count});
        sweep_timer_.async_wait(if_running([this] {
            is_sweep_due_ = false;
            sweep();
            sweep_later();
        }));
    }

    void sweep()
    {
        std::vector<std::shared_ptr<loop_http_connection>> all;
        all.reserve(group_.connections.size());
        for (const auto& [number, c] : group_.connections) {
            all.push_back(c);
        }
        const instant now = clock_.now();
        for (const auto& c : all) {
            c->check_times(now);
        }
    }

    system_clock clock_;
    connection_budget own_budget_;
    connection_group group_;
    tcp::acceptor acceptor_;
    asio::steady_timer sweep_timer_;
    asio::steady_timer retry_timer_;
    std::uint16_t port_{0};
    bool is_sweep_due_{false};
    /// Null after `stop`.
    std::shared_ptr<const bool> running_{std::make_shared<const bool>(true)};
};

} // namespace

absl::StatusOr<std::unique_ptr<http_server>>
start_loop_http_server(const http_server_options& options, http_handler& handler)
{
    auto server = std::make_unique<loop_http_server>(options, handler);
    try {
        server->start(options);
    }
    catch (const std::exception& e) {
        return absl::UnavailableError("cannot listen on " + options.ip + ":" +
                                      std::to_string(options.port) + ": " + e.what() +
                                      "; choose another address or end what uses it");
    }
    return server;
}

} // namespace cuminmoor::io
