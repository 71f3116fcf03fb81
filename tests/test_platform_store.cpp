/// \file
/// Change feed of a table when responses of the store fail.
#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <asio/io_context.hpp>

#include "asio_http_client.h"
#include "line_log.h"
#include "raw_http_server.h"
#include "settings.h"
#include "store.h"
#include "system_clock.h"

using namespace cuminmoor;
using test::raw_http_server;
using test::whole;

namespace {

struct null_sink final : io::central_event_sink {
    void post(central::event /*e*/) override {}
    central::call_handle next_handle() override { return {1}; }
    [[nodiscard]] bool is_ready() const override { return true; }
    [[nodiscard]] bool may_call(std::string_view /*host*/, std::string_view /*path*/,
                                const central::credential& /*key*/) const override
    {
        return true;
    }
    [[nodiscard]] bool is_stopping() const override { return false; }
};

/// A page with one row.
test::reaction page_with(const std::string& key, bool has_more)
{
    return whole(R"j({"rows":[{"table":"servers","key":")j" + key +
                 R"j(","row_version":3,"value":"eA=="}],"row_version":7,"has_more":)j" +
                 (has_more ? "true}" : "false}"));
}

struct fixture {
    explicit fixture(const std::string& address) { s.platform = address; }

    io::system_clock clock;
    io::settings s;
    io::line_log log{clock, "vm", "fd"};
    null_sink sink;
    asio::io_context context{1};
    std::unique_ptr<io::http_client> client{io::make_asio_http_client(context, clock, 4)};
    /// Keys of each snapshot that the feed delivered.
    std::vector<std::vector<std::string>> tables;
    platform::table_feed feed{
        io::deployment_dependencies{context, clock, *client, sink, log, s}, central::table::runners,
        [this](bool is_snapshot, const std::vector<platform::store_row>& rows) {
            if (is_snapshot) {
                auto& keys = tables.emplace_back();
                for (const platform::store_row& row : rows) {
                    keys.push_back(row.key);
                }
            }
        },
        [](bool /*reachable*/) {}};

    void run_until_tables(std::size_t count)
    {
        const instant give_up = clock.now() + millis{2'000};
        while (tables.size() < count && clock.now() < give_up) {
            context.restart();
            context.run_for(std::chrono::milliseconds{10});
        }
        cr_assert_eq(tables.size(), count);
    }
};

} // namespace

Test(platform_store, retry_resumes_at_the_failed_page)
{
    raw_http_server server{{page_with("a", true), whole("broken"), page_with("b", false)}};
    fixture f{server.address()};
    f.feed.start();
    f.run_until_tables(1);
    cr_assert_eq(f.tables[0], (std::vector<std::string>{"a", "b"}));
}

Test(platform_store, restarted_feed_reads_the_whole_table_despite_failed_responses)
{
    raw_http_server server{
        {page_with("a", false), whole("broken"), whole("broken"), page_with("b", false)}};
    fixture f{server.address()};
    f.feed.start();
    f.run_until_tables(1);
    f.feed.stop();
    f.feed.start();
    f.run_until_tables(2);
    cr_assert_eq(f.tables[1], std::vector<std::string>{"b"});
}

namespace {

struct commit_sink final : io::central_event_sink {
    void post(central::event e) override
    {
        if (const auto* const committed = std::get_if<central::rows_committed>(&e)) {
            outcome = committed->outcome;
        }
    }
    central::call_handle next_handle() override { return {1}; }
    [[nodiscard]] bool is_ready() const override { return true; }
    [[nodiscard]] bool may_call(std::string_view /*host*/, std::string_view /*path*/,
                                const central::credential& /*key*/) const override
    {
        return true;
    }
    [[nodiscard]] bool is_stopping() const override { return false; }

    std::optional<store_outcome> outcome;
};

/// \return the outcome of a transaction that the store answers with this status.
store_outcome outcome_of_status(const std::string& status)
{
    raw_http_server server{{{"HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}", false}}};
    io::system_clock clock;
    io::settings s;
    s.platform = server.address();
    io::line_log log{clock, "vm", "fd"};
    commit_sink sink;
    asio::io_context context{1};
    const auto client = io::make_asio_http_client(context, clock, 4);
    platform::store_client store{
        io::deployment_dependencies{context, clock, *client, sink, log, s}};
    store.execute(central::rows_commit{});
    const instant give_up = clock.now() + millis{2'000};
    while (!sink.outcome && clock.now() < give_up) {
        context.restart();
        context.run_for(std::chrono::milliseconds{10});
    }
    cr_assert(sink.outcome.has_value());
    return *sink.outcome;
}

} // namespace

/// Guards against sending a transaction that the store refuses for good again for ever (review/3).
Test(platform_store, a_transaction_that_is_refused_for_good_is_invalid)
{
    cr_assert(outcome_of_status("400 Bad Request") == store_outcome::invalid);
    cr_assert(outcome_of_status("413 Payload Too Large") == store_outcome::invalid);
    cr_assert(outcome_of_status("412 Precondition Failed") == store_outcome::conflict);
    cr_assert(outcome_of_status("429 Too Many Requests") == store_outcome::unavailable);
    cr_assert(outcome_of_status("503 Service Unavailable") == store_outcome::unavailable);
    cr_assert(outcome_of_status("500 Internal Server Error") == store_outcome::unknown);
}
