/// \file
/// Implementation of the store.
#include "store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>
#include <vector>

namespace review {

namespace {

constexpr int http_ok{200};
constexpr int http_bad_request{400};
constexpr int http_not_found{404};
constexpr int http_precondition_failed{412};
constexpr std::size_t max_page_rows{500};
constexpr std::size_t max_page_bytes{1'000'000};
constexpr std::size_t max_transaction_bytes{1'000'000};
constexpr std::size_t max_transaction_entries{100};
/// Time that a transaction takes, within what the platform names for a small deployment.
constexpr std::chrono::milliseconds transaction_time{4};

std::string to_base64(const std::string& text)
{
    constexpr const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    unsigned buffer{0};
    unsigned bits{0};
    for (const char each : text) {
        buffer = (buffer << 8U) | static_cast<unsigned char>(each);
        for (bits += 8; bits >= 6; bits -= 6) {
            encoded += digits[(buffer >> (bits - 6)) & 63U];
        }
    }
    if (bits > 0) {
        encoded += digits[(buffer << (6 - bits)) & 63U];
    }
    while (encoded.size() % 4 != 0) {
        encoded += '=';
    }
    return encoded;
}

std::string field(const http_request& request, const char* name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string{} : found->second;
}

std::uint64_t number_field(const http_request& request, const char* name)
{
    return std::strtoull(field(request, name).c_str(), nullptr, 10);
}

} // namespace

store::store() : server_{[this](const http_request& request) { return handle(request); }}
{
    server_.start(0);
}

store::~store()
{
    {
        const std::lock_guard lock{mutex_};
        is_stopping_ = true;
    }
    changed_.notify_all();
    server_.stop();
}

void store::put(const std::string& table, const std::string& key, const json& value,
                const std::string& part)
{
    {
        const std::lock_guard lock{mutex_};
        rows_[{table, part, key}] = {to_base64(value.dump()), ++version_};
    }
    changed_.notify_all();
}

void store::remove(const std::string& table, const std::string& key, const std::string& part)
{
    {
        const std::lock_guard lock{mutex_};
        const auto found = rows_.find({table, part, key});
        if (found == rows_.end() || !found->second.value) {
            return;
        }
        found->second = {std::nullopt, ++version_};
    }
    changed_.notify_all();
}

http_response store::handle(const http_request& request)
{
    if (request.path == "/-/rows-tx") {
        std::this_thread::sleep_for(transaction_time);
        return handle_transaction(request.body);
    }
    if (request.path == "/-/rows-get") {
        return handle_read(request);
    }
    if (request.path == "/-/rows-feed") {
        return handle_feed(request);
    }
    return {http_not_found, "{}"};
}

std::uint64_t store::version_of(const row_key& key) const
{
    const auto found = rows_.find(key);
    const bool exists = found != rows_.end() && found->second.value;
    return exists ? found->second.version : 0;
}

json store::row_json(const row_key& key, const row& r)
{
    json value = {{"table", std::get<0>(key)},
                  {"part", std::get<1>(key)},
                  {"key", std::get<2>(key)},
                  {"row_version", r.version}};
    if (r.value) {
        value["value"] = *r.value;
    }
    else {
        value["deleted"] = true;
    }
    return value;
}

json store::page_of(json rows, bool has_more) const
{
    constexpr std::int64_t start_ms{1'000};
    return {{"rows", std::move(rows)},
            {"has_more", has_more},
            {"row_version", version_},
            {"now_ms", start_ms + static_cast<std::int64_t>(version_)}};
}

http_response store::handle_transaction(const std::string& body)
{
    const json call = json::parse(body, nullptr, false);
    const auto entries = [&call](const char* name) { return call.value(name, json::array()); };
    if (!call.is_object() || body.size() > max_transaction_bytes ||
        entries("writes").size() + entries("remove").size() + entries("expected_rev").size() >
            max_transaction_entries) {
        return {http_bad_request, "{}"};
    }
    const auto key_of = [](const json& each) {
        return row_key{each.at("table"), each.value("part", ""), each.at("key")};
    };
    {
        const std::lock_guard lock{mutex_};
        for (const json& each : entries("expected_rev")) {
            if (version_of(key_of(each)) != each.at("row_version")) {
                return {http_precondition_failed, page_of(json::array(), false).dump()};
            }
        }
        ++version_;
        for (const json& each : entries("writes")) {
            rows_[key_of(each)] = {each.at("value").get<std::string>(), version_};
        }
        for (const json& each : entries("remove")) {
            rows_[key_of(each)] = {std::nullopt, version_};
        }
    }
    changed_.notify_all();
    const std::lock_guard lock{mutex_};
    return {http_ok, page_of(json::array(), false).dump()};
}

http_response store::handle_read(const http_request& request)
{
    const std::string table = field(request, "table");
    const std::string part = field(request, "part");
    const std::uint64_t asked = number_field(request, "limit");
    const std::size_t limit = asked == 0 ? max_page_rows : std::min(asked, max_page_rows);
    const std::lock_guard lock{mutex_};
    json rows = json::array();
    std::size_t bytes{0};
    bool has_more{false};
    for (auto it = rows_.lower_bound({table, part, field(request, "from")}); it != rows_.end();
         ++it) {
        const auto& [key, r] = *it;
        if (std::get<0>(key) != table || std::get<1>(key) != part) {
            break;
        }
        if (!r.value) {
            continue;
        }
        bytes += r.value->size();
        if (rows.size() == limit || (bytes > max_page_bytes && !rows.empty())) {
            has_more = true;
            break;
        }
        rows.push_back(row_json(key, r));
    }
    return {http_ok, page_of(std::move(rows), has_more).dump()};
}

http_response store::handle_feed(const http_request& request)
{
    const std::string table = field(request, "table");
    const std::uint64_t after = number_field(request, "after");
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds{number_field(request, "wait_ms")};
    std::unique_lock lock{mutex_};
    while (true) {
        std::vector<std::pair<std::uint64_t, json>> found;
        for (auto it = rows_.lower_bound({table, "", ""}); it != rows_.end(); ++it) {
            if (std::get<0>(it->first) != table) {
                break;
            }
            if (it->second.version > after) {
                found.emplace_back(it->second.version, row_json(it->first, it->second));
            }
        }
        if (!found.empty() || is_stopping_ || std::chrono::steady_clock::now() >= end) {
            std::stable_sort(found.begin(), found.end(),
                             [](const auto& a, const auto& b) { return a.first < b.first; });
            json rows = json::array();
            for (auto& [version, each] : found) {
                rows.push_back(std::move(each));
            }
            return {http_ok, page_of(std::move(rows), false).dump()};
        }
        changed_.wait_until(lock, end);
    }
}

} // namespace review
