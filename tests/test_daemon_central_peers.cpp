/// \file
/// Calls between entry VMs: events that the reducer gets when a connection breaks.
#include <chrono>
#include <optional>

#include <asio/io_context.hpp>
#include <criterion/criterion.h>

#include "asio_http_client.h"
#include "central_metrics.h"
#include "central_peers.h"
#include "cuminmoor/central/peer_codec.h"
#include "raw_http_server.h"
#include "system_clock.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;
namespace central = cuminmoor::central;
using test::raw_http_server;
using test::whole;

namespace {

constexpr cm::millis call_timeout{5'000};
constexpr long connections{4};

test::reaction answer(central::call_result result)
{
    return whole(central::encode_answer({.result = result}));
}

/// Keeps the last `peer_call_ended`.
class peer_call_recorder final : public io::central_event_sink {
public:
    void post(central::event e) override
    {
        if (const auto* ended = std::get_if<central::peer_call_ended>(&e)) {
            end = *ended;
        }
    }
    central::call_handle next_handle() override { return {1}; }
    [[nodiscard]] bool may_call(std::string_view /*host*/, std::string_view /*path*/,
                                const central::credential& /*key*/) const override
    {
        return true;
    }
    [[nodiscard]] bool is_stopping() const override { return false; }
    [[nodiscard]] bool is_ready() const override { return true; }

    std::optional<central::peer_call_ended> end;
};

struct fixture {
    asio::io_context context{1};
    io::system_clock clock;
    peer_call_recorder sink;
    io::settings settings;
    io::line_log log{clock, "vm1", "fd1"};
    std::unique_ptr<io::http_client> http{io::make_asio_http_client(context, clock, connections)};
    io::central_peers peers{{context, clock, *http, sink, log, settings}, [] { return ""; }};

    void start(const std::string& address, central::call_kind kind)
    {
        central::peer_call call;
        call.handle = {1};
        call.address = address;
        call.call.kind = kind;
        call.call.job.value = "0000000000000001";
        if (kind == central::call_kind::submit) {
            call.call.submitted = central::graph_job{};
        }
        call.timeout = call_timeout;
        peers.execute(call);
    }

    central::peer_call_ended run(const std::string& address, central::call_kind kind)
    {
        sink.end.reset();
        start(address, kind);
        while (!sink.end) {
            context.run_one();
        }
        return *sink.end;
    }
};

} // namespace

/// The peer may have accepted the submission before the connection broke. Resent by the HTTP
/// client, its rejection would hide that; so only the reducer may submit again.
Test(central_peers, submission_is_not_resent_when_its_connection_breaks)
{
    raw_http_server server{{answer(central::call_result::pending),
                            {"", true},
                            answer(central::call_result::not_scheduler)}};
    fixture f;
    cr_assert(f.run(server.address(), central::call_kind::count_pending).answer.has_value());
    const auto end = f.run(server.address(), central::call_kind::submit);
    cr_assert(end.sent);
    cr_assert_not(end.answer.has_value());
    cr_assert_eq(server.requests(), 2);
}

Test(central_peers, query_is_resent_when_a_kept_alive_connection_breaks)
{
    raw_http_server server{{answer(central::call_result::pending),
                            {"", true},
                            answer(central::call_result::unknown_job)}};
    fixture f;
    cr_assert(f.run(server.address(), central::call_kind::count_pending).answer.has_value());
    const auto end = f.run(server.address(), central::call_kind::query);
    cr_assert(end.answer.has_value());
    cr_assert(end.answer->result == central::call_result::unknown_job);
    cr_assert_eq(server.requests(), 3);
}

Test(central_peers, call_to_a_closed_port_is_reported_as_not_sent)
{
    std::string address;
    {
        const raw_http_server gone{{}};
        address = gone.address();
    }
    fixture f;
    cr_assert_not(f.run(address, central::call_kind::submit).sent);
}

Test(central_metrics, cancellation_from_a_peer_is_measured_until_taken_and_until_answered)
{
    constexpr central::call_handle handle{1};
    io::central_metrics metrics;
    central::peer_call_received received;
    received.handle = handle;
    received.call.kind = central::call_kind::cancel;
    metrics.record_call_read(handle, cm::instant{1'000});
    metrics.record(received, cm::instant{1'015});
    metrics.record(central::answer_call{handle, {}}, cm::instant{1'115});
    io::system_clock clock;
    const std::string text = metrics.render({}, io::line_log{clock, "vm1", "fd1"}, {});
    for (const std::string line :
         {"cancel_wait_ms_bucket{le=\"10\"} 0", "cancel_wait_ms_bucket{le=\"20\"} 1",
          "peer_call_held_ms_bucket{le=\"100\"} 0", "peer_call_held_ms_bucket{le=\"200\"} 1"}) {
        cr_assert(text.find("cuminmoor_" + line + "\n") != std::string::npos, "%s", line.c_str());
    }
}

Test(central_metrics, starts_of_services_that_ran_before_show_their_wait)
{
    io::central_metrics metrics;
    central::runner_order start;
    metrics.record(start, cm::instant{1'000});
    start.waited = cm::millis{1'500};
    metrics.record(start, cm::instant{1'000});
    io::system_clock clock;
    const std::string text = metrics.render({}, io::line_log{clock, "vm1", "fd1"}, {});
    for (const std::string line :
         {"service_wait_ms_bucket{le=\"1000\"} 0", "service_wait_ms_bucket{le=\"2000\"} 1"}) {
        cr_assert(text.find("cuminmoor_" + line + "\n") != std::string::npos, "%s", line.c_str());
    }
}

/// Queries that hang at the scheduler's VM take all other connections.
Test(central_peers, cancellation_does_not_wait_for_queries_that_hang)
{
    raw_http_server server{{answer(central::call_result::cancelled),
                            {},
                            {},
                            {},
                            answer(central::call_result::cancelled)}};
    fixture f;
    cr_assert(f.run(server.address(), central::call_kind::cancel).answer.has_value());
    for (long i{0}; i < 2 * connections; ++i) {
        f.start(server.address(), central::call_kind::query);
    }
    const cm::instant give_up = f.clock.now() + call_timeout / 2;
    while (server.requests() < connections && f.clock.now() < give_up) {
        f.context.run_one_for(std::chrono::milliseconds{10});
    }
    const auto end = f.run(server.address(), central::call_kind::cancel);
    cr_assert(end.answer.has_value());
}

Test(central_metrics, time_since_last_tick_is_shown)
{
    io::central_metrics metrics;
    metrics.record(central::tick{}, cm::instant{1'000});
    metrics.record(central::runner_hold_ended{}, cm::instant{1'300});
    io::system_clock clock;
    const std::string text =
        metrics.render({}, io::line_log{clock, "vm1", "fd1"}, cm::instant{1'400});
    cr_assert(text.find("cuminmoor_since_last_tick_ms 400\n") != std::string::npos);
}

/// However many there are; a name cannot add lines of its own.
Test(central_metrics, organisations_are_bounded)
{
    io::central_metrics metrics;
    central::central_state s;
    constexpr int organisations{1'000};
    for (int i{0}; i < organisations; ++i) {
        const central::organisation_id name{"o\n\"" + std::to_string(i)};
        auto& use = s.scheduler.organisations[name];
        use.settings.name = name;
        use.running.milli_cores = 7;
    }
    io::system_clock clock;
    const std::string text = metrics.render(s, io::line_log{clock, "vm1", "fd1"}, cm::instant{1});
    cr_assert_neq(text.find("cuminmoor_organisations 1000\n"), std::string::npos);
    std::size_t shown{0};
    for (std::size_t at{0};
         (at = text.find("running_milli_cores{organisation=\"o", at)) != std::string::npos; ++at) {
        ++shown;
    }
    cr_assert_eq(shown, 100);
}
