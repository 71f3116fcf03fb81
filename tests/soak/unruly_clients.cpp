/// \file
/// Implementation of the soak's unruly clients.
#include "unruly_clients.h"

#include <array>
#include <random>
#include <string>

#include "crowd/crowd.h"

namespace soak {

namespace {

/// Bodies of one crowd are more than a VM lets callers hold.
constexpr std::size_t crowd_size{60};
constexpr std::size_t body_bytes{262'144};
constexpr std::chrono::milliseconds visit_time{2'000};
constexpr std::int64_t stay_ms{1'000};
constexpr std::int64_t look_ms{50};

} // namespace

unruly_clients::unruly_clients(review::world& w, std::size_t vm_count, std::uint64_t seed)
    : world_{w}, vm_count_{vm_count}, thread_{[this, seed] { run(seed); }}
{
}

void unruly_clients::stop()
{
    is_over_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
}

void unruly_clients::run(std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    while (!is_over_) {
        const review::entry_vm& vm = world_.vm_at(random() % vm_count_);
        const std::array addresses{&vm.callers, &vm.readiness, &vm.peers};
        visit(*addresses.at(random() % addresses.size()), random());
    }
}

void unruly_clients::visit(const std::string& address, std::uint64_t drawn)
{
    const std::string head = "POST /batch/5c0e7a21ffffffff HTTP/1.1\r\nHost: batch.example\r\n"
                             "Content-Length: " +
                             std::to_string(body_bytes) + "\r\n\r\n";
    // Some stop in the head, some just short of the end.
    const std::size_t most = head.size() + body_bytes - 1;
    std::string text = head + std::string(body_bytes, 'x');
    text.resize(drawn % 2 == 0 ? most : drawn % most);
    crowd::client_crowd clients{address, crowd_size, {.text = std::move(text)}};
    clients.run([this] { return !is_over_; }, visit_time);
    for (std::int64_t stayed{0}; stayed < stay_ms && !is_over_; stayed += look_ms) {
        review::sleep_ms(look_ms);
    }
}

} // namespace soak
