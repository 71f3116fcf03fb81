/// \file
/// Tables that are read in several pages, over HTTP, where other writers choose the keys.
#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "absl/strings/str_split.h"
#include "cuminmoor/central/page_size.h"
#include "cuminmoor/json_reader.h"
#include "platform_io.h"
#include "raw_http_server.h"
#include "store.h"
#include "url.h"

using namespace cuminmoor;
using test::reaction;

namespace {

reaction refused()
{
    return {"HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\n{}"};
}

/// \return the target of a request, or nothing if its first line is not one of HTTP.
std::optional<std::string> target_of(const std::string& head)
{
    const std::vector<std::string> words = absl::StrSplit(head.substr(0, head.find("\r\n")), ' ');
    const auto is_visible = [](char c) { return c > ' ' && c < '\x7f' && c != '#'; };
    const bool is_valid = words.size() == 3 && words[0] == "GET" && words[2] == "HTTP/1.1" &&
                          std::all_of(words[1].begin(), words[1].end(), is_visible);
    return is_valid ? std::optional{words[1]} : std::nullopt;
}

/// \return the decoded fields of a query, or nothing if one cannot be decoded.
std::optional<std::map<std::string, std::string>> fields_of(const std::string& query)
{
    std::map<std::string, std::string> fields;
    const std::vector<std::string> pairs = absl::StrSplit(query, '&');
    for (const std::string& field : pairs) {
        std::string text = field.substr(std::min(field.size(), field.find('=') + 1));
        std::replace(text.begin(), text.end(), '+', ' ');
        const auto value = io::unescape_path(text);
        if (!value) {
            return std::nullopt;
        }
        fields[field.substr(0, field.find('='))] = *value;
    }
    return fields;
}

/// A store that holds one table, decodes requests as HTTP says, and answers `page_rows` rows at a
/// time. Polls for changes get no answer.
class paged_store {
public:
    paged_store(std::vector<std::string> keys, std::size_t page_rows)
        : keys_{std::move(keys)}, page_rows_{page_rows}
    {
        std::sort(keys_.begin(), keys_.end());
    }

    [[nodiscard]] std::string address() const { return server_.address(); }
    [[nodiscard]] const std::vector<std::string>& keys() const { return keys_; }

private:
    [[nodiscard]] reaction answer(const std::string& head) const
    {
        const auto target = target_of(head);
        if (!target) {
            return refused();
        }
        const std::size_t query = target->find('?');
        if (query == std::string::npos || target->substr(0, query) != "/-/rows-get") {
            return {};
        }
        const auto fields = fields_of(target->substr(query + 1));
        return fields ? page(*fields) : refused();
    }

    [[nodiscard]] reaction page(const std::map<std::string, std::string>& fields) const
    {
        const auto from = fields.find("from");
        const std::string first = from == fields.end() ? "" : from->second;
        if (first.size() > central::max_key_bytes) {
            return refused();
        }
        nlohmann::json rows = nlohmann::json::array();
        auto it = std::lower_bound(keys_.begin(), keys_.end(), first);
        for (; it != keys_.end() && rows.size() < page_rows_; ++it) {
            rows.push_back({{"key", *it}, {"row_version", 1}, {"value", ""}});
        }
        return test::whole(
            dump_json({{"rows", rows}, {"has_more", it != keys_.end()}, {"row_version", 7}}));
    }

    std::vector<std::string> keys_;
    std::size_t page_rows_;
    test::raw_http_server server_{
        test::responder{[this](const std::string& head) { return answer(head); }}};
};

/// Reads a table page by page as a new holder of the lease does, and keeps the keys.
class page_reader final : public test::event_sink {
public:
    explicit page_reader(const paged_store& store) : io_{*this, store.address()} {}

    void post(central::event e) override
    {
        const auto* const page = std::get_if<central::rows_read_done>(&e);
        if (page == nullptr) {
            return;
        }
        for (const auto& row : page->rows) {
            if (loaded_.empty() || loaded_.back() != row.key) {
                loaded_.push_back(row.key);
            }
        }
        is_loaded_ = page->ok && !page->has_more;
        has_failed_ = !page->ok;
        if (page->ok && page->has_more) {
            read_from(central::next_page_start(page->rows.back().key));
        }
    }

    /// \return the keys that a new holder loads; empty if a read failed.
    std::vector<std::string> load()
    {
        read_from("");
        io_.run_until([this] { return is_loaded_ || has_failed_; });
        return is_loaded_ ? loaded_ : std::vector<std::string>{};
    }

    /// \return the keys in the first snapshot of a feed; empty if there was none in time.
    std::vector<std::string> watch()
    {
        std::optional<std::vector<std::string>> keys;
        platform::table_feed feed{
            io_.dependencies, central::table::runners,
            [&keys](bool /*is_snapshot*/, const std::vector<platform::store_row>& rows) {
                keys.emplace();
                for (const auto& row : rows) {
                    keys->push_back(row.key);
                }
            },
            [](bool /*reachable*/) {}};
        feed.start();
        io_.run_until([&keys] { return keys.has_value(); });
        feed.stop();
        return keys.value_or(std::vector<std::string>{});
    }

private:
    void read_from(const std::string& key)
    {
        constexpr std::uint32_t limit{500};
        store_.execute(central::rows_read{central::table::used_runners, key, limit, {1'000}});
    }

    test::platform_io io_;
    platform::store_client store_{io_.dependencies};
    std::vector<std::string> loaded_;
    bool is_loaded_{false};
    bool has_failed_{false};
};

void expect_all_read(const paged_store& store)
{
    cr_expect(page_reader{store}.load() == store.keys(), "a new holder: %s",
              store.keys().at(1).c_str());
    cr_expect(page_reader{store}.watch() == store.keys(), "a feed: %s", store.keys().at(1).c_str());
}

} // namespace

/// Guards against a key of another writer that makes reads invalid, so that no new holder of the
/// lease can load its tables (review/12).
Test(platform_paging, a_key_may_hold_any_character)
{
    for (const std::string middle : {" ",         "&",
                                     "&limit=1&", "&from=",
                                     "#",         "+",
                                     "%",         "%41",
                                     "=",         "?",
                                     "/",         ";",
                                     "\"",        "\\",
                                     "<",         "{",
                                     "\x7f",      "\t",
                                     "\r\n",      "\x01",
                                     "\xc3\xa9",  "\xf0\x9f\x90\x9f"}) {
        const std::string prefix = "s" + middle;
        expect_all_read(paged_store{{"i-1", prefix + "1", prefix + "2", prefix + "3", "t-1"}, 1});
    }
}

/// Guards against skipping a key that begins with the last one of a page, and a space.
Test(platform_paging, no_key_between_two_pages_is_skipped)
{
    expect_all_read(paged_store{{"i", "i 1", "i 2", "i!", "i-1", "i\t1"}, 1});
}

/// Guards against a page that begins at a text which is too long for a key, so that the store
/// refuses to read on.
Test(platform_paging, a_page_may_end_with_a_key_of_full_length)
{
    const std::string longest(central::max_key_bytes, 'k');
    const std::string prefix(central::max_key_bytes - 1, 'k');
    expect_all_read(paged_store{{"i", prefix, longest, prefix + "l", "l"}, 2});
}
