/// \file
/// What an entry VM adds to a request: the same load straight at the runners and through it, at
/// rising rates. bench/bench_http.sh starts what it needs.
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "load_run.h"
#include "system_clock.h"

namespace {

namespace io = cuminmoor::io;

constexpr long connections{256};
constexpr std::size_t client_threads{3};

struct options {
    bench::load_target runners;
    bench::load_target entry;
    std::vector<double> rates;
    bench::load_step step;
};

/// \return the process's CPU time in seconds, from its /metrics.
double cpu_seconds(io::http_client& client, const std::string& address, io::system_clock& clock)
{
    io::http_call call;
    call.address = address;
    call.target = "/metrics";
    call.deadline = clock.now() + cuminmoor::millis{2'000};
    call.max_answer_bytes = std::size_t{1} << 20U;
    std::string text;
    std::atomic<bool> done{false};
    client.start(call, [&](const io::http_result& r) {
        text = r.body;
        done = true;
        done.notify_one();
    });
    done.wait(false);
    const std::string name{"process_cpu_seconds_total "};
    const auto at = text.find(name);
    double seconds{0};
    if (at != std::string::npos) {
        const auto value = text.substr(at + name.size());
        (void)absl::SimpleAtod(value.substr(0, value.find('\n')), &seconds);
    }
    return seconds;
}

void print(double rate, const bench::load_result& direct, const bench::load_result& through,
           double cpu)
{
    const double per_core = cpu > 0 ? static_cast<double>(through.sent) / cpu : 0;
    std::printf("%8.0f | %8.0f %7.0f %7.0f %7.0f | %8.0f %7.0f %7.0f %7.0f | %7.0f %7.0f %7.0f | "
                "%7llu %6llu | %8.0f\n",
                rate, direct.throughput, direct.p50_us, direct.p99_us, direct.p999_us,
                through.throughput, through.p50_us, through.p99_us, through.p999_us,
                through.p50_us - direct.p50_us, through.p99_us - direct.p99_us,
                through.p999_us - direct.p999_us, static_cast<unsigned long long>(through.refused),
                static_cast<unsigned long long>(through.failed), per_core);
    std::fflush(stdout);
}

void run(options o)
{
    io::system_clock clock;
    std::vector<std::unique_ptr<io::http_client>> clients;
    for (std::size_t i = 0; i < client_threads; ++i) {
        clients.push_back(io::make_http_client(clock, connections));
    }
    std::puts("    rate |   direct     p50     p99   p99.9 |  through     p50     p99   p99.9 |  "
              " added p50, p99, p99.9  | refused failed | req/core-s");
    for (const double rate : o.rates) {
        o.step.rate = rate;
        const auto direct = bench::run_load(o.runners, o.step, clients, clock);
        const double before = cpu_seconds(*clients[0], o.entry.addresses[0], clock);
        const auto through = bench::run_load(o.entry, o.step, clients, clock);
        const double after = cpu_seconds(*clients[0], o.entry.addresses[0], clock);
        print(rate, direct, through, after - before);
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 5) {
        std::cerr << "usage: bench_http SERVICE ENTRY RUNNER,RUNNER... RATE,RATE... "
                     "[SECONDS [IDEMPOTENT]]\n";
        return EXIT_FAILURE;
    }
    const std::string service{argv[1]};
    options o;
    o.entry = {{argv[2]}, "/v1/services/" + service + "/requests"};
    o.runners = {absl::StrSplit(argv[3], ','), "/v1/run/" + service};
    for (const auto text : absl::StrSplit(argv[4], ',')) {
        double rate{0};
        if (!absl::SimpleAtod(text, &rate) || rate <= 0) {
            std::cerr << "rate \"" << text << "\" must be a number above 0\n";
            return EXIT_FAILURE;
        }
        o.rates.push_back(rate);
    }
    int seconds{3};
    if (argc > 5 && (!absl::SimpleAtoi(argv[5], &seconds) || seconds <= 0)) {
        std::cerr << "seconds must be a number above 0\n";
        return EXIT_FAILURE;
    }
    o.step.length = cuminmoor::millis{seconds * std::int64_t{1'000}};
    o.step.idempotent = argc <= 6 || std::string{argv[6]} != "0";
    run(o);
    return EXIT_SUCCESS;
}
