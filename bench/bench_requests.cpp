/// \file
/// Cost of the request path in the reducer, and goodput past saturation on a virtual clock.
#include <chrono>
#include <cstdio>

#include "request_driver.h"

namespace cm = cuminmoor;
namespace ct = cuminmoor::test;

namespace {

constexpr std::uint64_t rounds{200'000};

cm::state entry_vm_with(int runners)
{
    cm::state s;
    s.self = {{"e1"}, {"tema-port"}, 1};
    for (int n = 0; n < runners; ++n) {
        const cm::vm_id id{"runner-" + std::to_string(n)};
        s.membership.vms[id] = {.id = id,
                                .role = cm::vm_role::runner,
                                .phase = cm::vm_phase::live,
                                .failure_domain = s.self.failure_domain,
                                .http_address = "",
                                .peer_address = "",
                                .service = {"drape-desk"}};
    }
    return s;
}

cm::request_arrived request(std::uint64_t n, cm::instant now)
{
    return {.handle = {n},
            .caller = {"boutique-" + std::to_string(n % 50)},
            .service = {"drape-desk"},
            .id = {std::to_string(n)},
            .idempotent = true,
            .deadline = now + cm::millis{1'000},
            .hops = 0,
            .body = nullptr};
}

double us_per_round(std::chrono::steady_clock::time_point begin)
{
    const std::chrono::duration<double, std::micro> duration =
        std::chrono::steady_clock::now() - begin;
    return duration.count() / static_cast<double>(rounds);
}

/// Arrival, dispatch and answer, with half of the slots taken.
double answered_us(int runners)
{
    const auto policies = cm::make_first_fit_policies();
    const cm::reducer r{policies};
    auto s = entry_vm_with(runners);
    const std::uint64_t open = static_cast<std::uint64_t>(runners) * 4;
    const auto body = std::make_shared<const std::string>("answer");
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint64_t n = 1; n <= rounds; ++n) {
        const cm::instant now{static_cast<std::int64_t>(n / 1'000)};
        (void)r.step(s, request(n, now), now);
        if (n > open) {
            const std::uint64_t old = n - open;
            (void)r.step(
                s, cm::dispatch_ended{{old}, {old}, cm::dispatch_outcome::answered, 200, body},
                now);
        }
    }
    return us_per_round(begin);
}

/// Arrivals at an entry VM whose slots are taken and whose queue is full.
double refused_us(int runners)
{
    const auto policies = cm::make_first_fit_policies();
    const cm::reducer r{policies};
    auto s = entry_vm_with(runners);
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint64_t n = 1; n <= rounds; ++n) {
        (void)r.step(s, request(n, {1}), {1});
    }
    return us_per_round(begin);
}

void print_costs()
{
    std::printf("runners answered_us refused_us\n");
    for (const int runners : {12, 48, 184}) {
        std::printf("%7d %11.2f %10.2f\n", runners, answered_us(runners), refused_us(runners));
    }
}

/// 3 entry VMs and 4 runners: 32 slots of 40 ms, 800 requests a second.
void print_goodput(double load, std::int64_t deadline_ms, unsigned skew_permille)
{
    ct::simulation_options o;
    o.failure_domains = 1;
    o.non_idempotent_permille = 0;
    o.repeat_permille = 0;
    o.skew_permille = skew_permille;
    o.min_deadline_ms = deadline_ms;
    o.max_deadline_ms = deadline_ms;
    o.mean_gap_us = static_cast<std::int64_t>(1'250 / load);
    constexpr double seconds{10};
    o.requests = static_cast<std::size_t>(800 * load * seconds);
    const auto result = ct::request_driver{o}.run();
    std::printf("%5.2f %8lld %8u %9.0f", load, static_cast<long long>(deadline_ms), skew_permille,
                static_cast<double>(result.answered_in_time) / seconds);
    for (const char* code : {"refused_deadline_unreachable", "refused_queue_full",
                             "refused_caller_over_share", "ended_outcome_unknown"}) {
        const auto found = result.counters.find(std::string{"request_"} + code);
        std::printf(
            " %s=%llu", code,
            found == result.counters.end() ? 0ULL : static_cast<unsigned long long>(found->second));
    }
    std::printf("\n");
}

} // namespace

int main()
{
    print_costs();
    std::printf("\n load deadline_ms skew good_per_s\n");
    for (const std::int64_t deadline_ms : {100, 500, 5'000}) {
        for (const double load : {0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0}) {
            print_goodput(load, deadline_ms, 0);
        }
    }
    for (const double load : {0.5, 0.8, 1.5}) {
        print_goodput(load, 500, 550);
    }
    return 0;
}
