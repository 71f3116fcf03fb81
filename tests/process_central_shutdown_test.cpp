/// \file
/// Planned stops of an entry VM under central scheduling whose processor share is nearly used up.
#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <future>
#include <thread>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include "process_harness.h"

namespace pt = process_test;

namespace {

using clock_type = std::chrono::steady_clock;

/// A request that a process has had for this long must not be cut off by its planned stop.
constexpr pt::milliseconds max_cut_age{200};
constexpr pt::milliseconds stop_limit{15'000};

/// When a request was sent as a whole and when its connection ended or answered.
struct exchange {
    clock_type::time_point sent_at;
    clock_type::time_point ended_at;
    bool was_sent{false};
    bool was_answered{false};

    [[nodiscard]] bool was_cut() const
    {
        return was_sent && !was_answered && ended_at - sent_at > max_cut_age;
    }
};

/// Sends one request on a connection of its own.
exchange send_request(const std::string& ip, std::uint16_t port)
{
    const std::string body{R"({"task_spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":256}]})"};
    const std::string request{"POST /queue/0123456789abcdef HTTP/1.1\r\nHost: a.example\r\n"
                              "X-Deadline-Ms: 3000\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body};
    const std::string status_line{"HTTP/1.1 503"};
    exchange e;
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    asio::error_code error;
    socket.connect({asio::ip::make_address(ip), port}, error);
    if (!error) {
        asio::write(socket, asio::buffer(request), error);
        e.was_sent = !error;
        e.sent_at = clock_type::now();
        std::string answer(status_line.size(), ' ');
        asio::read(socket, asio::buffer(answer), error);
        e.was_answered = !error && answer == status_line;
    }
    e.ended_at = clock_type::now();
    return e;
}

/// Sends a request each `period` until the object is destroyed.
class request_stream {
public:
    request_stream(std::string ip, std::uint16_t port, pt::milliseconds period)
        : sender_{[this, ip = std::move(ip), port, period] {
              while (!is_ended_) {
                  exchanges_.push_back(std::async(std::launch::async, send_request, ip, port));
                  std::this_thread::sleep_for(period);
              }
          }}
    {
    }

    /// Ends the stream and waits for the end of every exchange.
    std::vector<exchange> end()
    {
        is_ended_ = true;
        sender_.join();
        std::vector<exchange> ended;
        for (auto& each : exchanges_) {
            ended.push_back(each.get());
        }
        return ended;
    }

private:
    std::vector<std::future<exchange>> exchanges_;
    std::atomic<bool> is_ended_{false};
    std::thread sender_;
};

/// Lets a process run for only a short time in each period, as a spent processor quota does.
void throttle(const pt::child_process& process, pt::milliseconds running, pt::milliseconds period,
              clock_type::time_point end)
{
    while (clock_type::now() < end) {
        process.send_signal(SIGSTOP);
        std::this_thread::sleep_for(period - running);
        process.send_signal(SIGCONT);
        std::this_thread::sleep_for(running);
    }
}

/// \return true if the VM closes a connection after its answer.
bool closes_after_answer(const std::string& ip, std::uint16_t port)
{
    asio::io_context context;
    asio::ip::tcp::socket socket{context};
    socket.connect({asio::ip::make_address(ip), port});
    asio::write(socket,
                asio::buffer(std::string{"GET /queue/ HTTP/1.1\r\nHost: a.example\r\n\r\n"}));
    std::string answer;
    asio::error_code error;
    asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n{}", error);
    if (error || answer.find("Connection: close") == std::string::npos) {
        // It may have been answered before the signal was handled.
        return false;
    }
    asio::read(socket, asio::dynamic_buffer(answer), asio::transfer_at_least(1), error);
    return error == asio::error::eof;
}

pt::central_addresses addresses(const std::string& ip, std::uint16_t first_port)
{
    const auto at = [&](int offset) { return ip + ":" + std::to_string(first_port + offset); };
    return {.callers = at(0), .readiness = at(1), .peers = at(2), .platform = at(3)};
}

/// Starts a VM that has no platform, so that it is never ready and refuses all requests.
pt::child_process start_vm(const std::string& test, const pt::central_addresses& at)
{
    pt::child_process vm = pt::start_central_vm(test, at);
    constexpr int not_ready{503};
    cr_assert(pt::wait_until(
        [&] { return pt::status_of(pt::get(at.readiness, "/-/ready")) == not_ready; }));
    return vm;
}

/// How a VM is throttled around the end of its drain time, and until when requests come.
struct throttling {
    pt::milliseconds running;
    pt::milliseconds period;
    /// After SIGTERM.
    pt::milliseconds until;
};

struct stop_result {
    std::vector<exchange> exchanges;
    int exit_code{-1};
    /// From SIGTERM to the end of the process.
    pt::milliseconds time;

    [[nodiscard]] long cut_requests() const
    {
        return std::count_if(exchanges.begin(), exchanges.end(),
                             [](const exchange& e) { return e.was_cut(); });
    }
};

/// Stops a VM to which a request comes each 20 ms.
stop_result stop_throttled_vm(const std::string& test, const throttling& how)
{
    const std::string ip{pt::own_host()};
    constexpr std::uint16_t port{7'001};
    pt::child_process vm = start_vm(test, addresses(ip, port));
    vm.send_signal(SIGTERM);
    const auto stopped_at = clock_type::now();
    std::this_thread::sleep_for(pt::milliseconds{3'000});
    request_stream stream{ip, port, pt::milliseconds{20}};
    auto throttled = std::async(std::launch::async, [&] {
        throttle(vm, how.running, how.period, stopped_at + how.until);
        return 0;
    });
    stop_result result;
    result.exit_code = vm.wait_for_exit(stop_limit).value_or(-1);
    result.time = std::chrono::duration_cast<pt::milliseconds>(clock_type::now() - stopped_at);
    throttled.get();
    result.exchanges = stream.end();
    return result;
}

} // namespace

/// The process ended as soon as 10 ms had passed without a new request, though requests waited in
/// connections that it had no processor time to accept or read.
Test(central_shutdown, answers_requests_that_a_throttled_vm_has_not_read)
{
    const stop_result stopped = stop_throttled_vm(
        "central_shutdown", {pt::milliseconds{3}, pt::milliseconds{600}, pt::milliseconds{4'600}});
    cr_expect_eq(stopped.exit_code, 0);
    cr_expect_geq(stopped.exchanges.size(), 20);
    cr_expect_eq(stopped.cut_requests(), 0, "%ld of %zu requests were cut off",
                 stopped.cut_requests(), stopped.exchanges.size());
}

/// The process must end by itself before the platform kills it, although requests keep coming.
Test(central_shutdown, ends_before_the_platform_kills_it_although_requests_keep_coming)
{
    constexpr pt::milliseconds time_to_kill{6'000};
    const stop_result stopped =
        stop_throttled_vm("central_shutdown_in_time",
                          {pt::milliseconds{10}, pt::milliseconds{100}, pt::milliseconds{6'500}});
    cr_expect_eq(stopped.exit_code, 0);
    cr_expect_lt(stopped.time.count(), time_to_kill.count());
    cr_expect_eq(stopped.cut_requests(), 0, "%ld of %zu requests were cut off",
                 stopped.cut_requests(), stopped.exchanges.size());
}

/// Callers kept a connection whose VM was about to end, and lost the request that they sent last.
Test(central_shutdown, answers_during_the_drain_close_their_connections)
{
    const std::string ip{pt::own_host()};
    constexpr std::uint16_t port{7'001};
    pt::child_process vm = start_vm("central_shutdown_close", addresses(ip, port));
    vm.send_signal(SIGTERM);
    cr_expect(
        pt::wait_until([&] { return closes_after_answer(ip, port); }, pt::milliseconds{2'000}));
    cr_expect_eq(vm.wait_for_exit(stop_limit).value_or(-1), 0);
}
