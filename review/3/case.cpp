/// \file
/// Forty-five large scheduled jobs begin at the same moment, again and again.
#include <atomic>
#include <thread>

#include "../standins/world.h"

namespace {

using namespace review;

constexpr unsigned large_jobs{45};
constexpr unsigned occurrences{6};
constexpr std::int64_t interval_ms{4'500};
constexpr std::int64_t first_start_ms{8'000};
/// Between the starts of two large jobs with TROUBLE=0.
constexpr std::int64_t spread_ms{100};
constexpr unsigned small_jobs{10};
constexpr unsigned first_small{1'000};
constexpr std::int64_t ack_ms{4'000};

/// As wide, as long and as often as the sheet's largest jobs.
std::string large_job(std::int64_t start_at_ms)
{
    constexpr unsigned steps{5};
    std::string list;
    for (unsigned step{0}; step < steps; ++step) {
        list += step == 0 ? "" : ",";
        list += R"({"count":32,"cpu":7000,"mem_mb":13000,"estimated_ms":2200)";
        list += step == 0 ? "}" : R"(,"after":[)" + std::to_string(step - 1) + "]}";
    }
    return R"({"task_spec":"work 2200","repeat_count":)" + std::to_string(occurrences) +
           R"(,"start_at_ms":)" + std::to_string(start_at_ms) + R"(,"interval_ms":)" +
           std::to_string(interval_ms) + R"(,"steps":[)" + list + "]}";
}

void submit_large(world& w, const queue_options& queue, std::int64_t start_at_ms)
{
    constexpr unsigned clients{5};
    std::vector<std::thread> threads;
    for (unsigned first{0}; first < clients; ++first) {
        threads.emplace_back([&w, &queue, first, start_at_ms] {
            for (unsigned i{first}; i < large_jobs; i += clients) {
                const std::int64_t later = w.has_trouble() ? 0 : spread_ms * i;
                w.submit(queue, job_id(i), large_job(start_at_ms + later));
            }
        });
    }
    for (std::thread& each : threads) {
        each.join();
    }
}

/// Cancels each small job until a VM answers 2xx or 410.
/// \return the number without such an answer `ack_ms` after the first attempt.
unsigned cancel_small(world& w, const queue_options& queue)
{
    std::atomic<unsigned> unanswered{0};
    std::vector<std::thread> threads;
    for (unsigned i{0}; i < small_jobs; ++i) {
        threads.emplace_back([&, i] {
            constexpr int gone{410};
            constexpr int ok{200};
            const std::int64_t deadline = now_ms() + ack_ms;
            int status{0};
            for (std::size_t vm{i}; now_ms() < deadline && status != ok && status != gone; ++vm) {
                status = w.call(vm % 3, "DELETE", queue, job_id(first_small + i), "",
                                std::min<std::int64_t>(3'000, deadline - now_ms()))
                             .status;
            }
            unanswered += status == ok || status == gone ? 0 : 1;
        });
    }
    for (std::thread& each : threads) {
        each.join();
    }
    return unanswered;
}

/// \return how many of the ends that runners listed longer than `ack_ms` ago are noted, in percent.
std::size_t noted_percent(world& w)
{
    std::size_t ended{0};
    std::size_t noted{0};
    const std::int64_t now = now_ms();
    for (const run_event& e : w.events()) {
        ended += e.what == run_event::kind::ended && now - e.at_ms > ack_ms ? 1 : 0;
        noted += e.what == run_event::kind::noted ? 1 : 0;
    }
    return ended == 0 ? 100 : std::min<std::size_t>(100, noted * 100 / ended);
}

verdict play(world& w)
{
    queue_options quotes;
    queue_options renders;
    renders.name = "renders";
    renders.host = "renders.example";
    renders.path_prefix = "/renders/";
    renders.priority = 2;
    w.set_queues({quotes, renders});
    for (const char* id : {"i-0001", "i-0002", "i-0003", "i-0004"}) {
        w.add_runner({.id = id});
    }
    for (const char* name : {"entry-1", "entry-2", "entry-3"}) {
        w.add_vm(name, "accra-east");
    }
    constexpr std::int64_t start_limit{20'000};
    if (!w.wait_until_ready(start_limit)) {
        return verdict::not_run;
    }
    const std::int64_t start_at_ms = wall_ms() + first_start_ms;
    submit_large(w, renders, start_at_ms);
    for (unsigned i{0}; i < small_jobs; ++i) {
        const char* const small =
            R"({"task_spec":"work 90000","steps":[{"count":1,"cpu":100,"mem_mb":256,"estimated_ms":90000}]})";
        if (!w.submit(quotes, job_id(first_small + i), small)) {
            return verdict::not_run;
        }
    }
    constexpr std::int64_t settle_ms{8'000};
    sleep_ms(start_at_ms + interval_ms * (occurrences - 1) + settle_ms - wall_ms());
    const unsigned unanswered = cancel_small(w, quotes);
    const std::size_t noted = noted_percent(w);
    w.log().add("cancels without 2xx or 410 after " + std::to_string(ack_ms) +
                " ms: " + std::to_string(unanswered) + " of " + std::to_string(small_jobs));
    w.log().add("ends noted: " + std::to_string(noted) + " of 100");
    constexpr unsigned allowed_percent{10};
    return unanswered * 100 > small_jobs * allowed_percent ? verdict::broken : verdict::held;
}

} // namespace

int main()
{
    world w{"record.txt"};
    const verdict result = play(w);
    w.log().add("verdict " + std::to_string(static_cast<int>(result)));
    return static_cast<int>(result);
}
