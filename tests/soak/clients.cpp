/// \file
/// Implementation of the soak's clients.
#include "clients.h"

#include <nlohmann/json.hpp>

namespace soak {

namespace {

constexpr unsigned client_count{4};
/// Numbers of jobs of one client.
constexpr unsigned numbers_per_client{100'000};
constexpr int http_ok{200};
constexpr int http_gone{410};

std::string draw_job(std::mt19937_64& random)
{
    return R"({"task_spec":"work )" + std::to_string(300 + random() % 2'500) +
           R"(","steps":[{"count":)" + std::to_string(2 + random() % 10) +
           R"(,"cpu":6000,"mem_mb":12000,"estimated_ms":900}]})";
}

} // namespace

client_group::client_group(review::world& w, std::size_t vm_count,
                           const review::queue_options& queue, std::uint64_t seed)
    : world_{w}, vm_count_{vm_count}, queue_{queue}
{
    for (unsigned i{1}; i <= client_count; ++i) {
        threads_.emplace_back([this, i, seed] { run(i, seed); });
    }
}

void client_group::stop()
{
    is_over_ = true;
    for (std::thread& each : threads_) {
        each.join();
    }
    threads_.clear();
}

void client_group::run(unsigned number, std::uint64_t seed)
{
    constexpr std::uint64_t seeds_per_soak{16};
    std::mt19937_64 random{seed * seeds_per_soak + number};
    for (unsigned sent{0}; !is_over_; ++sent) {
        const unsigned first = number * numbers_per_client;
        submit(random, review::job_id(first + sent));
        ask(random() % vm_count_,
            review::job_id(first + static_cast<unsigned>(random()) % (sent + 1)));
        constexpr std::int64_t least_pause_ms{60};
        review::sleep_ms(least_pause_ms + static_cast<std::int64_t>(random() % 200));
    }
}

void client_group::submit(std::mt19937_64& random, const std::string& job)
{
    const std::string body = draw_job(random);
    const std::size_t vm = random() % vm_count_;
    const std::size_t other = random() % vm_count_;
    constexpr std::uint64_t cancelled_one_in{10};
    const bool is_cancelled = random() % cancelled_one_in == 0;
    if (world_.call(vm, "POST", queue_, job, body).status != http_ok) {
        return;
    }
    {
        const std::lock_guard lock{mutex_};
        seen_.accepted[job] = review::now_ms();
        if (is_cancelled) {
            seen_.cancelled.insert(job);
        }
    }
    if (is_cancelled) {
        world_.call(other, "DELETE", queue_, job);
    }
}

void client_group::ask(std::size_t vm, const std::string& job)
{
    const std::int64_t asked = review::now_ms();
    const review::http_answer answer = world_.call(vm, "GET", queue_, job);
    if (answer.status != http_ok && answer.status != http_gone) {
        return;
    }
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    const std::string state = answer.status == http_gone ? "410"
                              : body.is_object()         ? body.value("state", "")
                                                         : "";
    const std::lock_guard lock{mutex_};
    seen_.answers.push_back({job, state, vm, asked});
}

void client_group::report(observations& seen)
{
    std::size_t vm{0};
    for (const auto& [job, acked] : seen_.accepted) {
        ask(vm++ % vm_count_, job);
    }
    seen.accepted.merge(seen_.accepted);
    seen.cancelled.merge(seen_.cancelled);
    seen.answers.insert(seen.answers.end(), seen_.answers.begin(), seen_.answers.end());
}

} // namespace soak
