/// \file
/// Counts events and effects and measures latencies with Boost.Histogram.
#include "central_metrics.h"

#include <sstream>
#include <vector>

#include <boost/histogram.hpp>

#include "characters.h"
#include "cuminmoor/central/names.h"

namespace cuminmoor::io {

namespace {

namespace bh = boost::histogram;

/// Bounds of the histogram buckets in milliseconds.
const std::vector<double> bucket_bounds_ms{0,   2,   5,     10,    20,    50,    100,
                                           200, 500, 1'000, 2'000, 5'000, 10'000};

using ms_histogram = decltype(bh::make_histogram(bh::axis::variable<>(bucket_bounds_ms)));

void write_histogram(std::ostream& out, const std::string& name, const ms_histogram& h)
{
    double total{0};
    for (const auto& bin : bh::indexed(h)) {
        total += *bin;
        out << "cuminmoor_" << name << "_ms_bucket{le=\"" << bin.bin().upper() << "\"} " << total
            << '\n';
    }
    const double all = bh::algorithm::sum(h);
    out << "cuminmoor_" << name << "_ms_bucket{le=\"+Inf\"} " << all << '\n';
    out << "cuminmoor_" << name << "_ms_count " << all << '\n';
}

template <typename Map, typename Key>
void record_duration(Map& start_times, const Key& key, instant now, ms_histogram& histogram)
{
    const auto found = start_times.find(key);
    if (found != start_times.end()) {
        histogram(static_cast<double>((now - found->second).count));
        start_times.erase(found);
    }
}

/// \return the text as a label's value; what would end it is left out.
std::string label_value(const std::string& text)
{
    std::string value;
    for (const char each : text) {
        if (each != '"' && each != '\\' && !is_control(each)) {
            value += each;
        }
    }
    return value;
}

/// Writes what organisations have running and may have, of `max_shown_organisations` at most.
void write_organisations(std::ostringstream& out, const central::central_state& s)
{
    constexpr std::size_t max_shown_organisations{100};
    const auto& organisations = s.scheduler.organisations;
    out << "cuminmoor_organisations " << organisations.size() << '\n';
    std::size_t shown{0};
    for (const auto& [name, use] : organisations) {
        if (++shown > max_shown_organisations) {
            return;
        }
        const std::string label = "{organisation=\"" + label_value(name.value) + "\"} ";
        const auto write = [&](const char* what, auto value) {
            out << "cuminmoor_organisation_" << what << label << value << '\n';
        };
        write("running_milli_cores", use.running.milli_cores);
        write("running_mib", use.running.memory_mib);
        write("running_accelerators", use.running.accelerators);
        write("quota_milli_cores", use.settings.quota.milli_cores);
        write("quota_mib", use.settings.quota.memory_mib);
        write("quota_accelerators", use.settings.quota.accelerators);
        write("weight", use.settings.weight);
        write("quota_waits_total", use.quota.waits);
        write("share_waits_total", use.share.waits);
    }
}

} // namespace

struct central_metrics::histograms {
    ms_histogram call{bh::make_histogram(bh::axis::variable<>(bucket_bounds_ms))};
    ms_histogram commit{bh::make_histogram(bh::axis::variable<>(bucket_bounds_ms))};
    ms_histogram start{bh::make_histogram(bh::axis::variable<>(bucket_bounds_ms))};
    ms_histogram lag{bh::make_histogram(bh::axis::variable<>(bucket_bounds_ms))};
    ms_histogram peer_call_held{bh::make_histogram(bh::axis::variable<>(bucket_bounds_ms))};
    ms_histogram peer_round_trip{bh::make_histogram(bh::axis::variable<>(bucket_bounds_ms))};
    ms_histogram cancel_wait{bh::make_histogram(bh::axis::variable<>(bucket_bounds_ms))};
    ms_histogram service_wait{bh::make_histogram(bh::axis::variable<>(bucket_bounds_ms))};
};

central_metrics::central_metrics() : histograms_{std::make_unique<histograms>()} {}

central_metrics::~central_metrics() = default;

void central_metrics::record(const central::event& e, instant now)
{
    increment(std::string{"event_"} + central::name_of(e));
    if (std::holds_alternative<central::tick>(e)) {
        last_tick_at_ = now;
    }
    if (const auto* const call = std::get_if<central::caller_call>(&e)) {
        call_arrived_at_.emplace(call->handle, now);
        record_call_taken(call->handle, call->kind, now);
    }
    else if (const auto* const peer_call = std::get_if<central::peer_call_received>(&e)) {
        peer_call_arrived_at_.emplace(peer_call->handle, now);
        record_call_taken(peer_call->handle, peer_call->call.kind, now);
    }
    else if (const auto* const ended = std::get_if<central::peer_call_ended>(&e)) {
        record_forward_ended(*ended, now);
    }
    else if (const auto* const order = std::get_if<central::runner_order_ended>(&e)) {
        increment(std::string{"order_"} + central::name_of(order->result));
        record_duration(start_sent_at_, std::pair{order->task, order->run}, now,
                        histograms_->start);
    }
    else if (const auto* const commit = std::get_if<central::rows_committed>(&e)) {
        increment(std::string{"commit_"} + central::name_of(commit->outcome));
        if (commit->purpose == central::commit_purpose::progress) {
            record_duration(commit_sent_at_, commit->number, now, histograms_->commit);
        }
    }
}

void central_metrics::record_call_read(central::call_handle handle, instant now)
{
    call_read_at_.emplace(handle, now);
}

void central_metrics::record_call_taken(central::call_handle handle, central::call_kind kind,
                                        instant now)
{
    if (kind == central::call_kind::cancel) {
        record_duration(call_read_at_, handle, now, histograms_->cancel_wait);
    }
    else {
        call_read_at_.erase(handle);
    }
}

void central_metrics::record_forward_ended(const central::peer_call_ended& e, instant now)
{
    if (e.answer) {
        record_duration(forwarded_at_, e.handle, now, histograms_->peer_round_trip);
    }
    else {
        increment("peer_calls_unanswered");
        forwarded_at_.erase(e.handle);
    }
}

void central_metrics::record(const central::peer_call& e, instant now)
{
    increment("peer_calls");
    forwarded_at_[e.handle] = now;
}

void central_metrics::record(const central::answer_call& e, instant now)
{
    increment(std::string{"call_"} + central::name_of(e.answer.result));
    record_duration(call_arrived_at_, e.handle, now, histograms_->call);
    record_duration(peer_call_arrived_at_, e.handle, now, histograms_->peer_call_held);
}

void central_metrics::record(const central::rows_commit& e, instant now)
{
    increment("commits");
    if (e.purpose == central::commit_purpose::progress) {
        commit_sent_at_[e.number] = now;
    }
}

void central_metrics::record(const central::rows_read& /*e*/, instant /*now*/)
{
    increment("reads");
}

void central_metrics::record(const central::watch_registry& /*e*/, instant /*now*/) {}

void central_metrics::record(const central::runner_order& e, instant now)
{
    increment(std::string{central::name_of(e.kind)} + "s");
    if (e.kind == central::order_kind::start) {
        start_sent_at_[{e.task, e.run}] = now;
        if (e.waited) {
            histograms_->service_wait(static_cast<double>(e.waited->count));
        }
    }
}

void central_metrics::record(const central::runner_hold& /*e*/, instant /*now*/)
{
    increment("holds");
}

void central_metrics::record_lag(millis lag)
{
    histograms_->lag(static_cast<double>(lag.count));
}

std::string central_metrics::render(const central::central_state& s, const line_log& log,
                                    instant now) const
{
    std::ostringstream out;
    for (const auto& [name, value] : counters_) {
        out << "cuminmoor_" << name << "_total " << value << '\n';
    }
    out << "cuminmoor_log_lines_left_out_total " << log.dropped_lines() << '\n'
        << "cuminmoor_log_routine_lines_left_out_total " << log.dropped_routine_lines() << '\n'
        << "cuminmoor_since_last_tick_ms " << (last_tick_at_ ? (now - *last_tick_at_).count : 0)
        << '\n'
        << "cuminmoor_is_scheduler " << (s.lease.current_role == central::role::scheduler ? 1 : 0)
        << '\n'
        << "cuminmoor_manifest_version " << s.operators.newest.version << '\n'
        << "cuminmoor_jobs " << s.scheduler.jobs.size() << '\n'
        << "cuminmoor_runners " << s.scheduler.runners.size() << '\n'
        << "cuminmoor_ignored_entries " << s.scheduler.ignored_entries.size() << '\n'
        << "cuminmoor_ready_steps " << s.scheduler.ready.size() << '\n'
        << "cuminmoor_placement_rounds_total " << s.scheduler.placement_rounds << '\n'
        << "cuminmoor_runners_weighed_total " << s.scheduler.runners_scored << '\n'
        << "cuminmoor_reservations " << s.scheduler.reserved_runners.size() << '\n'
        << "cuminmoor_reservations_made_total " << s.scheduler.lookahead.made << '\n'
        << "cuminmoor_reservations_used_total " << s.scheduler.lookahead.used << '\n'
        << "cuminmoor_reservations_given_up_total " << s.scheduler.lookahead.given_up << '\n'
        << "cuminmoor_backfilled_starts_total " << s.scheduler.lookahead.backfilled << '\n';
    write_organisations(out, s);
    write_histogram(out, "call", histograms_->call);
    write_histogram(out, "commit", histograms_->commit);
    write_histogram(out, "start", histograms_->start);
    write_histogram(out, "lag", histograms_->lag);
    write_histogram(out, "peer_call_held", histograms_->peer_call_held);
    write_histogram(out, "peer_round_trip", histograms_->peer_round_trip);
    write_histogram(out, "cancel_wait", histograms_->cancel_wait);
    write_histogram(out, "service_wait", histograms_->service_wait);
    return out.str();
}

} // namespace cuminmoor::io
