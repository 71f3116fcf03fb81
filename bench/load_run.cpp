/// \file
/// Open-loop load on HTTP targets.
#include "load_run.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace bench {

namespace {

using namespace std::chrono;
namespace cm = cuminmoor;
namespace io = cuminmoor::io;

constexpr int http_ok{200};
constexpr std::size_t answer_bytes{1U << 16U};

/// Collects results from the clients' threads.
class collector {
public:
    void add(steady_clock::time_point due, const io::http_result& r)
    {
        const auto took = duration<double, std::micro>(steady_clock::now() - due).count();
        const bool answered = r.outcome == io::http_outcome::answered && r.status == http_ok;
        const bool refused = r.outcome == io::http_outcome::answered &&
                             io::find_header(r.headers, "X-Not-Run") != nullptr;
        const std::lock_guard lock{mutex_};
        ++ended_;
        if (answered) {
            latencies_.push_back(took);
        }
        else {
            ++(refused ? refused_ : failed_);
        }
        changed_.notify_one();
    }

    load_result finish(std::uint64_t sent, steady_clock::time_point began)
    {
        std::unique_lock lock{mutex_};
        changed_.wait(lock, [this, sent] { return ended_ == sent; });
        const auto took = duration<double>(steady_clock::now() - began).count();
        std::sort(latencies_.begin(), latencies_.end());
        load_result r;
        r.sent = sent;
        r.answered = latencies_.size();
        r.refused = refused_;
        r.failed = failed_;
        r.throughput = static_cast<double>(r.answered) / took;
        r.p50_us = quantile(0.5);
        r.p99_us = quantile(0.99);
        r.p999_us = quantile(0.999);
        return r;
    }

private:
    [[nodiscard]] double quantile(double p) const
    {
        if (latencies_.empty()) {
            return 0;
        }
        const auto last = static_cast<double>(latencies_.size() - 1);
        return latencies_[static_cast<std::size_t>(p * last)];
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<double> latencies_;
    std::uint64_t ended_{0};
    std::uint64_t refused_{0};
    std::uint64_t failed_{0};
};

io::http_call make_call(const load_target& target, const load_step& step, std::uint64_t number,
                        cm::clock_source& clock)
{
    static const auto body = std::make_shared<const std::string>(200, 'b');
    static const auto run_number = steady_clock::now().time_since_epoch().count();
    static std::uint64_t calls_of_all_steps{0};
    io::http_call call;
    call.method = "POST";
    call.address = target.addresses[number % target.addresses.size()];
    call.target = target.path;
    call.headers = {{"X-Caller", "bench" + std::to_string(number % 10)},
                    {"X-Idempotent", step.idempotent ? "1" : "0"}};
    call.request_id = std::to_string(run_number) + "." + std::to_string(++calls_of_all_steps);
    call.headers.push_back({"X-Request-Id", call.request_id});
    call.body = body;
    call.deadline = clock.now() + step.deadline;
    call.sends_deadline = true;
    call.max_answer_bytes = answer_bytes;
    return call;
}

} // namespace

load_result run_load(const load_target& target, const load_step& step,
                     const std::vector<std::unique_ptr<io::http_client>>& clients,
                     cm::clock_source& clock)
{
    // Outlives the last callback: `finish` waits for every call.
    collector results;
    const auto began = steady_clock::now();
    const auto gap = duration_cast<steady_clock::duration>(duration<double>(1.0 / step.rate));
    std::uint64_t sent{0};
    for (auto due = began; due < began + milliseconds{step.length.count}; due += gap) {
        std::this_thread::sleep_until(due);
        clients[sent % clients.size()]->start(
            make_call(target, step, sent, clock),
            [due, &results](const io::http_result& r) { results.add(due, r); });
        ++sent;
    }
    return results.finish(sent, began);
}

} // namespace bench
