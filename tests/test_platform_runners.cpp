/// \file
/// Calls to runners, whose ids other writers choose.
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "central/store/codec.h"
#include "cuminmoor/central/page_size.h"
#include "cuminmoor/json_reader.h"
#include "platform_io.h"
#include "raw_http_server.h"
#include "runners.h"

using namespace cuminmoor;

namespace {

/// Ids that a header cannot carry as they are.
const std::vector<std::string> unsendable_ids{"",
                                              "i-1\r\nX-Other: 1",
                                              "i-1\r\n\r\nPOST /-/run-stop HTTP/1.1\r\n\r\n",
                                              "i\n1",
                                              "i-1\t",
                                              "i\x01",
                                              "i\x7f",
                                              std::string{"i\0", 2},
                                              " i-1",
                                              "i-1 "};

/// Sends one hold, and keeps the heads of the requests that arrive.
class hold_play final : public test::event_sink {
public:
    explicit hold_play(const std::string& runner)
    {
        central::runner_hold hold;
        hold.runner = {runner};
        hold.address = server_.address();
        hold.timeout = {300};
        client_.execute(hold);
        io_.run_until([this] { return result.has_value(); });
    }

    void post(central::event e) override
    {
        if (const auto* const ended = std::get_if<central::runner_hold_ended>(&e)) {
            result = ended->result;
        }
    }

    [[nodiscard]] std::vector<std::string> heads()
    {
        const std::lock_guard lock{mutex_};
        return heads_;
    }

    std::optional<central::order_result> result;

private:
    test::reaction react(const std::string& head)
    {
        const std::lock_guard lock{mutex_};
        heads_.push_back(head);
        return test::whole(R"j({"clock_ms":1,"born":1,"running":[],"finished":[]})j");
    }

    std::mutex mutex_;
    std::vector<std::string> heads_;
    test::raw_http_server server_{
        test::responder{[this](const std::string& head) { return react(head); }}};
    test::platform_io io_{*this, ""};
    platform::runner_client client_{io_.dependencies};
};

} // namespace

/// Guards against an id that ends its header and begins another one, or another request (found
/// beside review/12).
Test(platform_runners, nothing_is_sent_under_an_id_that_a_header_cannot_carry)
{
    for (const std::string& id : unsendable_ids) {
        hold_play play{id};
        cr_expect(play.heads().empty(), "%s", id.c_str());
        cr_expect(play.result == central::order_result::not_sent, "%s", id.c_str());
    }
}

Test(platform_runners, ids_of_other_characters_are_sent_as_they_are)
{
    for (const std::string id :
         {"i-1", "sensor 4", "i\t1", "a&b#c%20+", "\xc3\xa9\xf0\x9f\x90\x9f"}) {
        hold_play play{id};
        cr_assert_eq(play.heads().size(), 1, "%s", id.c_str());
        cr_expect(play.heads()[0].find("X-Expected-Instance: " + id + "\r\n") != std::string::npos,
                  "%s", play.heads()[0].c_str());
        cr_expect(play.result == central::order_result::done, "%s", id.c_str());
    }
}

Test(platform_runners, an_entry_whose_id_cannot_be_sent_names_no_runner)
{
    const std::string body =
        R"j({"service":"s","address":"127.0.0.1:1","zone":"z","state":"ready","capacity":{}})j";
    cr_expect(platform::parse_registry_entry("sensor 4", body).ok());
    for (const std::string& id : unsendable_ids) {
        cr_expect_not(platform::parse_registry_entry(id, body).ok(), "%s", id.c_str());
    }
}

namespace {

/// \return the entry of a runner whose texts have the greatest length, with `count` labels.
std::string longest_entry(std::size_t count, const std::string& label)
{
    const std::string name(max_name_bytes, 'n');
    const nlohmann::json entry = {{"service", name},
                                  {"address", name},
                                  {"zone", name},
                                  {"state", "ready"},
                                  {"capacity", nlohmann::json::object()},
                                  {"labels", std::vector<std::string>(count, label)}};
    return dump_json(entry);
}

} // namespace

/// Guards against an entry that takes more than a row when it is stored: the transaction with it is
/// refused for good, and no job is stored any more (found beside review/12).
Test(platform_runners, an_entry_that_does_not_fit_a_row_names_no_runner)
{
    const std::string id(central::max_key_bytes, 'i');
    for (const std::string& label : {std::string{}, std::string(200, 'l')}) {
        std::size_t accepted{0};
        for (std::size_t count{1}; longest_entry(count, label).size() <= 65'536; count += 16) {
            const auto entry = platform::parse_registry_entry(id, longest_entry(count, label));
            if (entry.ok()) {
                accepted = count;
                cr_assert_leq(central::encode_runner(*entry).size(),
                              central::config::max_row_bytes);
            }
        }
        cr_expect_gt(accepted, 100);
    }
}
