/// \file
/// Event loop around the central reducer.
#include "central_process.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

#include <sys/resource.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "abort_report.h"
#include "asio_http_client.h"
#include "central_metrics.h"
#include "central_peers.h"
#include "central_ports.h"
#include "cuminmoor/central/names.h"
#include "event_queue.h"
#include "lag_report.h"
#include "line_log.h"
#include "quiet_loop.h"
#include "refusal_report.h"
#include "system_clock.h"

namespace cuminmoor::io {

namespace {

/// Connections to one runner: starts are sent in parallel to the hold that is waiting.
constexpr long connections_per_address{12};
// For calls that arrive after the drain time. The platform kills the process 2 s after that.
constexpr millis final_quiet_time{30};
constexpr millis max_final_time{1'200};
constexpr millis final_last_look{300};

central::central_state make_state(const settings& s)
{
    std::random_device random;
    constexpr unsigned bits{32};
    central::central_state initial;
    initial.self.vm = s.vm;
    initial.self.failure_domain = s.failure_domain;
    initial.self.address = to_string(s.peer);
    initial.self.incarnation = (std::uint64_t{random()} << bits) | random();
    initial.self.max_hold = s.max_hold;
    initial.self.keep_ended = s.keep_ended;
    initial.self.capacity = s.capacity;
    initial.self.options = s.options;
    return initial;
}

/// \return the limits of what clients may hold, by the settings and the limit of the system.
budget_limits client_limits(const settings& s)
{
    rlimit descriptors{};
    const bool is_known = getrlimit(RLIMIT_NOFILE, &descriptors) == 0;
    return derive_limits(s.memory_bytes,
                         is_known ? std::min<std::size_t>(s.max_descriptors, descriptors.rlim_cur)
                                  : s.max_descriptors);
}

class central_loop final : public central_event_sink {
public:
    explicit central_loop(const settings& s)
        : settings_{s}, log_{clock_, s.vm.value, s.failure_domain.value}, state_{make_state(s)},
          budget_{client_limits(s)}, http_{make_asio_http_client(context_, clock_,
                                                                 connections_per_address)},
          dependencies_{context_, clock_, *http_, *this, log_, settings_, &budget_},
          peers_{dependencies_,
                 [this] {
                     return metrics_.render(state_, log_, clock_.now()) + render_metrics(budget_);
                 }},
          deployment_{make_deployment(dependencies_)}, timer_{context_}, signals_{context_, SIGTERM,
                                                                                  SIGINT, SIGHUP}
    {
    }

    absl::Status start()
    {
        log_.add("started", {{"callers", to_string(settings_.http)},
                             {"peers", to_string(settings_.peer)},
                             {"platform", settings_.platform}});
        if (auto listening = peers_.start(); !listening.ok()) {
            return listening;
        }
        if (auto listening = deployment_->start(); !listening.ok()) {
            return listening;
        }
        wait_for_signal();
        timer_due_at_ = clock_.now();
        post(central::tick{});
        return absl::OkStatus();
    }

    void run()
    {
        context_.run();
        const bool is_quiet = handle_last_calls();
        // The destructors poll the loop: no handler may run on what is destroyed already.
        context_.stop();
        log_.add("stopped", {{"calls", std::to_string(last_handle_)},
                             {"calls_after_drain", std::to_string(last_handle_ - drained_handle_)},
                             {"lag_ms", std::to_string(last_lag_.count)},
                             {"waited_ms", std::to_string((clock_.now() - drained_at_).count)},
                             {"quiet", is_quiet ? "true" : "false"},
                             {"unanswered", std::to_string(deployment_->unanswered_calls())},
                             {"connections", std::to_string(deployment_->open_connections())}});
        log_.flush();
    }

    void post(central::event e) override
    {
        queue_.push(std::move(e));
        if (!is_processing_queue_) {
            process_queue();
        }
    }

    central::call_handle next_handle() override
    {
        const central::call_handle handle{++last_handle_};
        metrics_.record_call_read(handle, clock_.now());
        return handle;
    }

    [[nodiscard]] bool is_ready() const override { return central::is_ready(state_); }
    [[nodiscard]] bool may_call(std::string_view host, std::string_view path,
                                const central::credential& key) const override
    {
        return central::check_caller(state_, host, path, key) == central::call_result::accepted;
    }
    [[nodiscard]] bool is_stopping() const override { return state_.stopping; }

private:
    void process_queue()
    {
        is_processing_queue_ = true;
        while (const auto e = queue_.take(clock_.now())) {
            process_event(*e);
        }
        is_processing_queue_ = false;
        log_.flush();
        arm_timer();
        request_slice();
    }

    /// Results of runners have no effect after the shutdown.
    void request_slice()
    {
        if (is_slice_requested_ || !queue_.needs_slice() || state_.shutdown_reported) {
            return;
        }
        is_slice_requested_ = true;
        asio::post(context_, [this] {
            is_slice_requested_ = false;
            queue_.begin_slice(clock_.now());
            process_queue();
            queue_.end_slice(clock_.now());
        });
    }

    void process_event(const central::event& e)
    {
        const central::lease_state& lease = state_.lease;
        set_abort_context(
            {central::name_of(lease.current_role), lease.term.value, central::name_of(e)});
        if (std::holds_alternative<central::tick>(e)) {
            record_lag(clock_.now());
            report_refusals(clock_.now());
        }
        metrics_.record(e, clock_.now());
        const central::effects out = central::reduce(state_, e, clock_.now(), wall_time());
        central::end_step(state_, clock_.now());
        queue_.set_next_tick(state_.wake_at);
        for (const central::effect& each : out) {
            std::visit([this](const auto& x) { execute(x); }, each);
        }
        set_abort_context({central::name_of(lease.current_role), lease.term.value, ""});
    }

    void execute(const central::peer_call& e)
    {
        metrics_.record(e, clock_.now());
        peers_.execute(e);
    }
    void execute(const central::answer_call& e)
    {
        metrics_.record(e, clock_.now());
        if (!peers_.answer(e)) {
            deployment_->answer(e);
        }
    }
    void execute(const log_event& e) { log_.add(e.name, e.fields); }
    /// Ends `context_.run()`. The reducer answers calls that arrive later at once.
    void execute(const shutdown_complete& /*e*/)
    {
        drained_at_ = clock_.now();
        drained_handle_ = last_handle_;
        context_.stop();
    }
    template <typename Effect>
    void execute(const Effect& e)
    {
        metrics_.record(e, clock_.now());
        deployment_->execute(e);
    }

    /// Handles calls that arrive after the drain time, until none comes any more.
    /// \return true if it came to that in time.
    bool handle_last_calls()
    {
        const auto progress = [this] {
            const bool is_flushed = deployment_->is_flushed() && peers_.is_flushed();
            return call_progress{last_handle_, is_flushed};
        };
        return run_until_quiet(context_, clock_, progress,
                               {.quiet_time = final_quiet_time,
                                .end = state_.drain_deadline + max_final_time,
                                .last_look = final_last_look});
    }

    void arm_timer()
    {
        const bool is_armed = is_timer_armed_ && timer_due_at_ <= state_.wake_at;
        if (is_armed || state_.shutdown_reported) {
            return;
        }
        is_timer_armed_ = true;
        timer_due_at_ = state_.wake_at;
        const std::int64_t delay_ms =
            std::max<std::int64_t>(0, (timer_due_at_ - clock_.now()).count);
        timer_.expires_after(std::chrono::milliseconds{delay_ms + 1});
        timer_.async_wait([this](const asio::error_code& error) {
            if (!error) {
                is_timer_armed_ = false;
                post(central::tick{});
            }
        });
    }

    void report_refusals(instant now)
    {
        if (const auto fields = refusal_report_.observe(budget_, now)) {
            log_.add("clients_refused", *fields);
        }
    }

    void record_lag(instant now)
    {
        last_lag_ = now - timer_due_at_;
        metrics_.record_lag(last_lag_);
        if (const auto fields = lag_report_.observe(last_lag_, now, state_)) {
            log_.add("loop_late", *fields);
        }
    }

    void wait_for_signal()
    {
        signals_.async_wait([this](const asio::error_code& error, int number) {
            if (error) {
                return;
            }
            if (number == SIGHUP) {
                // Settings come from flags and environment variables and only change on restart.
                log_.add("reload", {{"changed", "nothing"}});
                log_.flush();
            }
            else {
                log_.add("signal", {{"number", std::to_string(number)}});
                post(central::stop_requested{});
            }
            wait_for_signal();
        });
    }

    settings settings_;
    system_clock clock_;
    line_log log_;
    asio::io_context context_{1};
    central::central_state state_;
    central_metrics metrics_;
    lag_report lag_report_;
    connection_budget budget_;
    refusal_report refusal_report_;
    std::unique_ptr<http_client> http_;
    deployment_dependencies dependencies_;
    central_peers peers_;
    std::unique_ptr<deployment> deployment_;
    asio::steady_timer timer_;
    asio::signal_set signals_;
    event_queue queue_;
    bool is_processing_queue_{false};
    bool is_slice_requested_{false};
    bool is_timer_armed_{false};
    instant timer_due_at_;
    /// How late the last timer was: a VM without processor time left is late by much.
    millis last_lag_;
    std::uint64_t last_handle_{0};
    /// When the drain ended, and the handle of the newest call then.
    instant drained_at_;
    std::uint64_t drained_handle_{0};
};

} // namespace

absl::Status run_central_process(const settings& s)
{
    central_loop loop{s};
    if (auto started = loop.start(); !started.ok()) {
        return started;
    }
    loop.run();
    return absl::OkStatus();
}

} // namespace cuminmoor::io
