/// \file
/// Calls of the HTTP client without a thread that are meant for one life of the other process: the
/// connection proves first that it leads there.
#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "asio_http_client.h"
#include "raw_http_server.h"
#include "system_clock.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;
using test::raw_http_server;
using test::whole;

namespace {

constexpr long most_connections{3};
constexpr cm::millis short_time{200};
constexpr cm::millis long_time{5'000};
constexpr std::int64_t first_life{1};
constexpr std::int64_t second_life{2};

/// Another process whose lives follow each other. Counts what it receives.
struct process {
    std::int64_t life{first_life};
    int proofs{0};
    int calls{0};
    /// The connection breaks instead of an answer to the next proof.
    bool breaks_next_proof{false};
    /// Answers to proofs, if they are not the life.
    std::optional<test::reaction> refusal;

    test::reaction react(const std::string& head)
    {
        if (!head.starts_with("POST /proof ")) {
            ++calls;
            return whole("done");
        }
        ++proofs;
        if (std::exchange(breaks_next_proof, false)) {
            return {"", true};
        }
        return refusal ? *refusal : whole(std::to_string(life));
    }
};

struct fixture {
    process other;
    raw_http_server server{
        test::responder{[this](const std::string& h) { return other.react(h); }}};
    io::system_clock clock;
    asio::io_context context{1};
    std::unique_ptr<io::http_client> client{
        io::make_asio_http_client(context, clock, most_connections)};
    std::vector<io::http_result> ended;

    io::http_call make_call(cm::millis time = long_time)
    {
        io::http_call call;
        call.method = "POST";
        call.address = server.address();
        call.target = "/x";
        call.deadline = clock.now() + time;
        call.max_answer_bytes = 1'000;
        return call;
    }
    /// \return the result of the call.
    io::http_result play(io::http_call call)
    {
        const std::size_t before = ended.size();
        client->start(std::move(call),
                      [this](io::http_result r) { ended.push_back(std::move(r)); });
        const cm::instant give_up = clock.now() + long_time;
        while (ended.size() == before && clock.now() < give_up) {
            context.restart();
            context.run_for(std::chrono::milliseconds{10});
        }
        cr_assert_eq(ended.size(), before + 1);
        return ended.back();
    }
    io::http_result play_for(std::int64_t life, cm::millis time = long_time)
    {
        auto proof = std::make_shared<io::connection_proof>();
        proof->target = "/proof";
        proof->life = life;
        proof->life_of = [](const io::http_result& r) -> std::optional<std::int64_t> {
            return std::stoll(r.body);
        };
        io::http_call call = make_call(time);
        call.proof = proof;
        return play(std::move(call));
    }
};

void expect_done(const io::http_result& r)
{
    cr_expect(r.outcome == io::http_outcome::answered);
    cr_expect(r.body == "done", "%s", r.body.c_str());
}

} // namespace

Test(http_proof, connection_proves_its_life_once)
{
    fixture f;
    expect_done(f.play_for(first_life));
    expect_done(f.play_for(first_life));
    cr_expect_eq(f.other.proofs, 1);
    cr_expect_eq(f.other.calls, 2);
}

/// Guards against a start that a restarted runner takes for its own, with a lease that is on the
/// clock of its former life (seen by users as TWICE).
Test(http_proof, call_for_a_former_life_is_not_sent)
{
    fixture f;
    f.other.life = second_life;
    const io::http_result r = f.play_for(first_life);
    cr_expect(r.outcome == io::http_outcome::not_sent);
    cr_expect(r.is_other_life);
    cr_expect_eq(f.other.calls, 0);
    expect_done(f.play_for(second_life));
}

/// Another call has opened the connection to the new life.
Test(http_proof, connection_of_other_calls_is_proved_first)
{
    fixture f;
    f.other.life = second_life;
    expect_done(f.play(f.make_call()));
    const io::http_result r = f.play_for(first_life);
    cr_expect(r.outcome == io::http_outcome::not_sent);
    cr_expect(r.is_other_life);
    cr_expect_eq(f.other.calls, 1);
    cr_expect_eq(f.server.accepted(), 1);
}

Test(http_proof, refusal_of_the_proof_is_the_answer)
{
    fixture f;
    f.other.refusal =
        test::reaction{"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"};
    const io::http_result r = f.play_for(first_life);
    cr_expect(r.outcome == io::http_outcome::answered);
    cr_expect_eq(r.status, 421);
    cr_expect_not(r.is_other_life);
    cr_expect_eq(f.other.calls, 0);
}

Test(http_proof, call_without_a_proof_in_time_is_certainly_not_sent)
{
    fixture f;
    f.other.refusal = test::reaction{};
    const io::http_result r = f.play_for(first_life, short_time);
    cr_expect(r.outcome == io::http_outcome::not_sent);
    cr_expect_eq(f.other.calls, 0);
}

Test(http_proof, proof_over_a_kept_connection_that_breaks_is_repeated)
{
    fixture f;
    expect_done(f.play(f.make_call()));
    f.other.breaks_next_proof = true;
    expect_done(f.play_for(first_life));
    cr_expect_eq(f.other.proofs, 2);
    cr_expect_eq(f.other.calls, 2);
    cr_expect_eq(f.server.accepted(), 2);
}
