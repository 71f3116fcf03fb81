/// \file
/// Change feed of a table when responses of the store fail.
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "platform_io.h"
#include "raw_http_server.h"
#include "store.h"

using namespace cuminmoor;
using test::raw_http_server;
using test::whole;

namespace {

/// A page with one row.
test::reaction page_with(const std::string& key, bool has_more)
{
    return whole(R"j({"rows":[{"table":"servers","key":")j" + key +
                 R"j(","row_version":3,"value":"eA=="}],"row_version":7,"has_more":)j" +
                 (has_more ? "true}" : "false}"));
}

struct fixture {
    explicit fixture(const std::string& address) : io{sink, address} {}

    test::event_sink sink;
    test::platform_io io;
    /// Keys of each snapshot that the feed delivered.
    std::vector<std::vector<std::string>> tables;
    platform::table_feed feed{
        io.dependencies, central::table::runners,
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
        io.run_until([&] { return tables.size() >= count; }, {2'000});
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

struct commit_sink final : test::event_sink {
    void post(central::event e) override
    {
        if (const auto* const committed = std::get_if<central::rows_committed>(&e)) {
            outcome = committed->outcome;
        }
    }

    std::optional<store_outcome> outcome;
};

/// \return the outcome of a transaction that the store answers with this status.
store_outcome outcome_of_status(const std::string& status)
{
    raw_http_server server{{{"HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}", false}}};
    commit_sink sink;
    test::platform_io io{sink, server.address()};
    platform::store_client store{io.dependencies};
    store.execute(central::rows_commit{});
    io.run_until([&sink] { return sink.outcome.has_value(); }, {2'000});
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
