/// \file
/// The HTTP server on its owner's event loop.
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

#include "http_server.h"

namespace io = cuminmoor::io;

namespace {

/// Counts requests and answers each.
class counting_handler final : public io::http_handler {
public:
    void on_request(io::http_request /*request*/, io::http_responder respond) override
    {
        ++requests;
        respond({});
    }
    void on_connection_closed(io::connection_number /*connection*/) override {}

    std::size_t requests{0};
};

/// Connects without waiting for the server to accept, and sends a request.
asio::ip::tcp::socket send_request(asio::io_context& context, std::uint16_t port)
{
    asio::ip::tcp::socket socket{context};
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket, asio::buffer(std::string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n"}));
    return socket;
}

/// \return the passes that the loop needs until `reached`, or `limit`. Each pass does other work.
std::size_t count_passes(asio::io_context& context, std::size_t limit,
                         const std::function<bool()>& reached)
{
    std::size_t passes{0};
    const std::function<void()> other_work = [&] {
        ++passes;
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
        asio::post(context, other_work);
    };
    asio::post(context, other_work);
    while (!reached() && passes < limit) {
        context.run_one();
    }
    context.stop();
    return passes;
}

} // namespace

/// One connection was accepted in each pass, so calls timed out before anybody had read them.
Test(http_server, connections_that_wait_are_accepted_within_few_passes_of_a_busy_loop)
{
    constexpr std::size_t connections{60};
    constexpr std::size_t few_passes{20};
    asio::io_context context{1};
    asio::io_context client_context{1};
    counting_handler handler;
    auto server = *io::start_http_server({"127.0.0.1", 0, 1, &context}, handler);
    std::vector<asio::ip::tcp::socket> sockets;
    for (std::size_t i{0}; i < connections; ++i) {
        sockets.push_back(send_request(client_context, server->port()));
    }
    const std::size_t passes =
        count_passes(context, few_passes, [&] { return handler.requests == connections; });
    cr_log_info("%zu requests in %zu passes", handler.requests, passes);
    cr_assert_eq(handler.requests, connections);
}
