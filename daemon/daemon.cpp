/// \file
/// Creates and connects the components of the daemon.
#include "daemon.h"

#include <random>
#include <utility>

#include "io_limits.h"
#include "logging.h"

namespace cuminmoor::io {

namespace {

state make_state(const settings& s)
{
    std::random_device random;
    constexpr unsigned bits{32};
    state initial;
    initial.self.vm = s.vm;
    initial.self.failure_domain = s.failure_domain;
    initial.self.incarnation = (std::uint64_t{random()} << bits) | random();
    return initial;
}

} // namespace

daemon_process::daemon_process(const settings& s)
    : settings_{s}, policies_{make_policies()}, reducer_{policies_}, loop_{reducer_, make_state(s),
                                                                           clock_, metrics_},
      api_{calls_, loop_, clock_, metrics_,
           [this] { return format_metrics(metrics_, peers_->counts(), calls_.size()); }}
{
}

absl::Status daemon_process::start()
{
    auto peers = start_udp_peer_transport(settings_.peer.ip, settings_.peer.port, loop_);
    if (!peers.ok()) {
        return peers.status();
    }
    peers_ = *std::move(peers);
    control_http_ = make_http_client(clock_, connections_for_control);
    traffic_http_ = make_http_client(clock_, connections_per_backend);
    platform_ = make_http_platform_client(settings_.platform, *control_http_, clock_, loop_);
    workers_ = make_http_worker_client(*control_http_, clock_, loop_);
    runners_ = make_http_runner_client(
        *traffic_http_, loop_, [this](const dispatch_ended& end, measuring_clock::duration time) {
            calls_.add_backend_time(end.handle, time);
            metrics_.backend.add(time);
        });
    executor_ = std::make_unique<effect_executor>(
        effect_targets{*platform_, *workers_, *runners_, *peers_, calls_, metrics_}, clock_, loop_);
    auto server = start_http_server(
        {settings_.http.ip, settings_.http.port, settings_.traffic_threads}, api_);
    if (!server.ok()) {
        return server.status();
    }
    server_ = *std::move(server);
    log_info("started", {{"http", settings_.http.ip + ":" + std::to_string(server_->port())},
                         {"peer", settings_.peer.ip + ":" + std::to_string(peers_->port())},
                         {"platform", settings_.platform}});
    return absl::OkStatus();
}

void daemon_process::run()
{
    loop_.run(*executor_);
    api_.close();
    const bool flushed = server_->wait_until_flushed(flush_timeout);
    server_->stop();
    log_info("stopped", {{"flushed", flushed ? "true" : "false"}});
}

void daemon_process::request_shutdown()
{
    api_.begin_stopping();
    loop_.post(shutdown_requested{});
}

} // namespace cuminmoor::io
