/// \file
/// Crowds of clients that don't behave, at each address of a real entry VM: the process lives, its
/// memory and descriptors stay below their limits, and an ordinary job is taken and run while the
/// crowd's connections are still there.
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>
#include <string>

#include "crowd.h"
#include "victim.h"

using crowd::client_behaviour;
using crowd::place;
using process_test::milliseconds;

namespace {

constexpr std::size_t crowd_size{320};
constexpr std::size_t small_crowd_size{100};
constexpr std::size_t legal_body_bytes{262'144};
/// More than any server should hold of one request.
constexpr std::size_t excessive_body_bytes{1'900'000};
constexpr std::size_t legal_head_bytes{16'384};
constexpr std::size_t small_piece_bytes{4'096};
constexpr milliseconds crowd_time{6'000};
constexpr milliseconds slow_pause{1'000};

std::string content_length(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/// \return so many bytes of body in chunks, without the last chunk.
std::string in_chunks(std::size_t bytes)
{
    constexpr std::size_t chunk_bytes{1'024};
    const std::string chunk = "400\r\n" + std::string(chunk_bytes, 'x') + "\r\n";
    std::string text{"Transfer-Encoding: chunked\r\n\r\n"};
    for (std::size_t sent{0}; sent < bytes; sent += chunk_bytes) {
        text += chunk;
    }
    return text;
}

/// \return the least text of `least_bytes` that is made of `part`s.
std::string repeat(const std::string& part, std::size_t least_bytes)
{
    std::string text;
    while (text.size() < least_bytes) {
        text += part;
    }
    return text;
}

void play(const std::string& name, place where, std::size_t clients,
          const client_behaviour& behaviour)
{
    crowd::victim vm{name + std::to_string(static_cast<unsigned>(where))};
    cr_assert(vm.stays_below_limits(), "at rest: %zu bytes, %zu descriptors",
              vm.most().resident_bytes, vm.most().descriptors);
    crowd::client_crowd clients_there{vm.address_of(where), clients, behaviour};
    clients_there.run([&vm] { return vm.has_memory_left(); }, crowd_time);
    const bool holds = vm.stays_below_limits();
    cr_log_info("%zu bytes, %zu descriptors at most", vm.most().resident_bytes,
                vm.most().descriptors);
    cr_assert(vm.is_alive());
    cr_expect(holds, "%zu bytes, %zu descriptors", vm.most().resident_bytes, vm.most().descriptors);
    const std::string state = vm.run_ordinary_job();
    cr_expect(state.find("completed") != std::string::npos, "the ordinary job: %s", state.c_str());
    cr_assert(vm.stays_below_limits(), "at the end: %zu bytes, %zu descriptors",
              vm.most().resident_bytes, vm.most().descriptors);
}

criterion_test_params make_parameters()
{
    static std::array all{place::queue, place::no_route, place::readiness, place::metrics,
                          place::peers};
    return cr_make_param_array(place, all.data(), all.size());
}

} // namespace

ParameterizedTestParameters(whole_bodies, stop_short)
{
    return make_parameters();
}

ParameterizedTest(place* where, whole_bodies, stop_short)
{
    play("whole_bodies", *where, crowd_size,
         {.text = crowd::victim::head(*where) + content_length(legal_body_bytes) +
                  std::string(legal_body_bytes - 1, 'x')});
}

ParameterizedTestParameters(bodies_in_pieces, stop_short)
{
    return make_parameters();
}

ParameterizedTest(place* where, bodies_in_pieces, stop_short)
{
    play("bodies_in_pieces", *where, crowd_size,
         {.text = crowd::victim::head(*where) + content_length(legal_body_bytes) +
                  std::string(legal_body_bytes - 1, 'x'),
          .piece_bytes = small_piece_bytes});
}

ParameterizedTestParameters(bodies_in_chunks, stop_short)
{
    return make_parameters();
}

ParameterizedTest(place* where, bodies_in_chunks, stop_short)
{
    play("bodies_in_chunks", *where, crowd_size,
         {.text = crowd::victim::head(*where) + in_chunks(legal_body_bytes - 1)});
}

ParameterizedTestParameters(excessive_bodies, with_a_length)
{
    return make_parameters();
}

ParameterizedTest(place* where, excessive_bodies, with_a_length)
{
    play("excessive_length", *where, small_crowd_size,
         {.text = crowd::victim::head(*where) + content_length(2 * excessive_body_bytes) +
                  std::string(excessive_body_bytes, 'x')});
}

ParameterizedTestParameters(excessive_bodies, without_a_length)
{
    return make_parameters();
}

ParameterizedTest(place* where, excessive_bodies, without_a_length)
{
    play("excessive_chunks", *where, small_crowd_size,
         {.text = crowd::victim::head(*where) + in_chunks(excessive_body_bytes)});
}

ParameterizedTestParameters(short_fields, end_open)
{
    return make_parameters();
}

/// The head stays within the size that callers may send, and has no end.
ParameterizedTest(place* where, short_fields, end_open)
{
    const std::string head = crowd::victim::head(*where);
    play("short_fields", *where, crowd_size,
         {.text = head + repeat("a:b\r\n", legal_head_bytes - head.size() - 8)});
}

ParameterizedTestParameters(requests_ahead, answers_unread)
{
    return make_parameters();
}

ParameterizedTest(place* where, requests_ahead, answers_unread)
{
    constexpr std::size_t bytes_ahead{400'000};
    play("requests_ahead", *where, crowd_size,
         {.text = repeat(crowd::victim::head(*where) + content_length(0), bytes_ahead)});
}

ParameterizedTestParameters(slow_clients, byte_a_second)
{
    return make_parameters();
}

ParameterizedTest(place* where, slow_clients, byte_a_second)
{
    play("slow_clients", *where, crowd_size,
         {.text = crowd::victim::head(*where) + content_length(0),
          .piece_bytes = 1,
          .pause = slow_pause,
          .reads_slowly = true});
}

ParameterizedTestParameters(clients_stop, half_way)
{
    return make_parameters();
}

ParameterizedTest(place* where, clients_stop, half_way)
{
    play("clients_stop", *where, crowd_size,
         {.text = crowd::victim::head(*where) + content_length(legal_body_bytes) +
                  std::string(legal_body_bytes / 2, 'x')});
}

/// By default, no limit is in the way of a client that stays inside the limits of the pages.
Test(legal_client, largest_job_and_head)
{
    constexpr unsigned job{7};
    constexpr std::size_t payload_bytes{4'000};
    constexpr unsigned steps{40};
    std::string payload{"work 20 "};
    payload.resize(payload_bytes, 'x');
    std::string body = R"({"task_spec":")" + payload + R"(","steps":[{"count":1,"cpu":100})";
    for (unsigned step{1}; step < steps; ++step) {
        body += R"(,{"count":8,"cpu":100,"mem_mb":16,"after":[0],"estimated_ms":20})";
    }
    body += "]";
    body.resize(legal_body_bytes - 1, ' ');
    body += "}";
    std::string head = "POST /quotes/" + review::job_id(job) +
                       " HTTP/1.1\r\nHost: quotes.example\r\nConnection: close\r\n";
    const std::string length = content_length(body.size());
    head += repeat("a:b\r\n", legal_head_bytes - head.size() - length.size() - 5);
    crowd::victim vm{"legal_client", crowd::limit_settings::defaults};
    const std::string answer = crowd::exchange(vm.callers(), head + length + body);
    cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
    const std::string state = vm.wait_for_end(job);
    cr_expect(state.find("completed") != std::string::npos, "%s", state.c_str());
}
