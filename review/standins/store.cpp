/// \file
/// Implementation of the store's stand-in.
#include "store.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>

#include <asio/steady_timer.hpp>

namespace review {

namespace {

using nlohmann::json;

constexpr int http_ok{200};
constexpr int http_bad_request{400};
constexpr int http_forbidden{403};
constexpr int http_not_found{404};
constexpr int http_precondition_failed{412};
constexpr int http_unavailable{503};

std::tuple<std::string, std::string, std::string> key_of(const json& entry)
{
    return {entry.value("table", ""), entry.value("part", ""), entry.value("key", "")};
}

json row_to_json(const std::tuple<std::string, std::string, std::string>& key,
                 std::uint64_t version)
{
    return {{"table", std::get<0>(key)},
            {"part", std::get<1>(key)},
            {"key", std::get<2>(key)},
            {"row_version", version}};
}

bool is_read_only(const json& entry)
{
    const std::string table = entry.value("table", "");
    return table == "op" || table == "servers";
}

} // namespace

store::store(asio::io_context& loop, record& log, store_limits limits)
    : loop_{loop}, record_{log}, limits_{limits}, server_{loop, free_port(),
                                                          [this](const http_request& request,
                                                                 const reply_function& reply) {
                                                              handle(request, reply);
                                                          }}
{
}

http_server& store::add_entrance()
{
    entrances_.push_back(std::make_unique<http_server>(
        loop_, free_port(), [this](const http_request& request, const reply_function& reply) {
            handle(request, reply);
        }));
    return *entrances_.back();
}

void store::put(const std::string& table, const std::string& key, const std::string& value)
{
    ++version_;
    write({table, "", key}, base64(value));
    serve_feeds();
}

void store::remove(const std::string& table, const std::string& key)
{
    if (rows_.contains({table, "", key})) {
        ++version_;
        erase({table, "", key});
        serve_feeds();
    }
}

void store::set_down(bool down)
{
    is_down_ = down;
    record_.add(down ? "store: down, answers 503" : "store: up again");
    if (down) {
        for (const feed_call& each : std::exchange(feeds_, {})) {
            answer(each.reply, http_unavailable, json::object());
        }
    }
}

void store::silence_open_connections()
{
    record_.add("store: open channels go silent");
    for (const auto& each : entrances_) {
        each->silence_open_connections();
    }
}

void store::set_slowdown(std::int64_t factor)
{
    slowdown_ = factor;
    record_.add("store: answers take " + std::to_string(factor) + " times as long");
}

void store::after(std::int64_t delay_ms, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(loop_, std::chrono::milliseconds{delay_ms});
    timer->async_wait([timer, action = std::move(action)](const asio::error_code& error) {
        if (!error) {
            action();
        }
    });
}

void store::answer(const reply_function& reply, int status, const json& body, std::int64_t extra_ms)
{
    after(limits_.answer_ms * slowdown_ + extra_ms,
          [reply, status, text = body.dump()] { reply(status, text); });
}

void store::handle(const http_request& request, const reply_function& reply)
{
    if (is_down_) {
        answer(reply, http_unavailable, json::object());
        return;
    }
    if (request.path == "/-/rows-tx") {
        handle_transaction(request, reply);
    }
    else if (request.path == "/-/rows-get") {
        handle_read(request, reply);
    }
    else if (request.path == "/-/rows-feed") {
        handle_feed(request, reply);
    }
    else {
        answer(reply, http_not_found, json::object());
    }
}

std::string store::fault_of(const std::string& text, const json& body) const
{
    if (body.is_discarded() || !body.is_object()) {
        return "not a JSON object";
    }
    const auto count = [&body](const char* list) {
        return body.contains(list) ? body[list].size() : 0;
    };
    if (text.size() > limits_.max_call_bytes) {
        return "call of " + std::to_string(text.size()) + " bytes";
    }
    if (count("expected_rev") + count("writes") + count("remove") > limits_.max_entries) {
        return "too many entries";
    }
    for (const json& each : body.value("writes", json::array())) {
        constexpr std::size_t encoded{4};
        constexpr std::size_t decoded{3};
        const std::size_t bytes = each.value("value", "").size() / encoded * decoded;
        if (bytes > limits_.max_row_bytes + decoded) {
            return "row of " + std::to_string(bytes) + " bytes: " + each.value("table", "") + "/" +
                   each.value("key", "");
        }
    }
    return "";
}

void store::handle_transaction(const http_request& request, const reply_function& reply)
{
    const json body = json::parse(request.body, nullptr, false);
    const std::string fault = fault_of(request.body, body);
    if (!fault.empty()) {
        record_.add("store: transaction refused with 400, " + fault);
        answer(reply, http_bad_request, {{"error", fault}});
        return;
    }
    if (static_cast<unsigned>(std::rand()) % 100 < late_percent_) {
        constexpr std::int64_t late_ms{3'000};
        after(late_ms, [this, body] { execute(body, [](int, const std::string&) {}); });
        return;
    }
    const std::int64_t now = now_ms();
    transactions_end_at_ = std::max(now, transactions_end_at_) + limits_.transaction_ms;
    after(transactions_end_at_ - now, [this, body, reply] { execute(body, reply); });
}

void store::execute(const json& body, const reply_function& reply)
{
    if (is_down_) {
        answer(reply, http_unavailable, json::object());
        return;
    }
    const json expected = body.value("expected_rev", json::array());
    const json writes = body.value("writes", json::array());
    const json removals = body.value("remove", json::array());
    if (std::any_of(writes.begin(), writes.end(), is_read_only) ||
        std::any_of(removals.begin(), removals.end(), is_read_only)) {
        answer(reply, http_forbidden, json::object());
        return;
    }
    bool holds{true};
    json current = json::array();
    for (const json& each : expected) {
        const auto found = rows_.find(key_of(each));
        const std::uint64_t version = found == rows_.end() ? 0 : found->second.version;
        holds = holds && version == each.value("row_version", std::uint64_t{0});
        json row = row_to_json(key_of(each), version);
        row["value"] = found == rows_.end() ? "" : found->second.value;
        current.push_back(std::move(row));
    }
    if (!holds) {
        answer(reply, http_precondition_failed, with_version(current));
        return;
    }
    ++version_;
    for (const json& each : writes) {
        write(key_of(each), each.value("value", ""));
    }
    for (const json& each : removals) {
        erase(key_of(each));
    }
    answer(reply, http_ok, {{"row_version", version_}, {"now_ms", now_ms()}});
    serve_feeds();
}

void store::write(const row_key& key, const std::string& value)
{
    rows_[key] = {value, version_};
    changes_.push_back({version_, key, false, value});
}

void store::erase(const row_key& key)
{
    if (rows_.erase(key) > 0) {
        changes_.push_back({version_, key, true, ""});
    }
}

json store::with_version(json rows) const
{
    return {{"rows", std::move(rows)}, {"row_version", version_}, {"now_ms", now_ms()}};
}

void store::handle_read(const http_request& request, const reply_function& reply)
{
    const std::string table = request.parameter("table");
    const std::string part = request.parameter("part");
    const std::string to = request.parameter("to");
    constexpr std::size_t max_rows{500};
    constexpr std::size_t max_bytes{1'000'000};
    const std::size_t limit =
        std::min<std::size_t>(max_rows, std::stoul(request.parameter("limit", "500")));
    json rows = json::array();
    std::size_t bytes{0};
    bool has_more{false};
    for (auto it = rows_.lower_bound({table, part, request.parameter("from")}); it != rows_.end();
         ++it) {
        const auto& [its_table, its_part, key] = it->first;
        if (its_table != table || its_part != part || (!to.empty() && key >= to)) {
            break;
        }
        if (rows.size() >= limit || bytes > max_bytes) {
            has_more = true;
            break;
        }
        bytes += it->second.value.size();
        json row = row_to_json(it->first, it->second.version);
        row["value"] = it->second.value;
        rows.push_back(std::move(row));
    }
    json body = with_version(std::move(rows));
    body["has_more"] = has_more;
    answer(reply, http_ok, body);
}

json store::changes_after(const std::string& table, std::uint64_t after) const
{
    json rows = json::array();
    const auto first = std::upper_bound(
        changes_.begin(), changes_.end(), after,
        [](std::uint64_t version, const change& c) { return version < c.version; });
    for (auto it = first; it != changes_.end(); ++it) {
        if (std::get<0>(it->key) != table) {
            continue;
        }
        json row = row_to_json(it->key, it->version);
        if (it->is_removal) {
            row["deleted"] = true;
        }
        else {
            row["value"] = it->value;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

void store::handle_feed(const http_request& request, const reply_function& reply)
{
    const std::string table = request.parameter("table");
    const std::uint64_t after_version = std::stoull(request.parameter("after", "0"));
    json rows = changes_after(table, after_version);
    if (!rows.empty()) {
        answer(reply, http_ok, with_version(std::move(rows)));
        return;
    }
    const std::uint64_t number = ++last_feed_;
    feeds_.push_back({number, table, after_version, reply});
    after(std::stoll(request.parameter("wait_ms", "0")), [this, number] {
        const auto found = std::find_if(feeds_.begin(), feeds_.end(), [number](const feed_call& f) {
            return f.number == number;
        });
        if (found != feeds_.end()) {
            answer(found->reply, http_ok, with_version(json::array()));
            feeds_.erase(found);
        }
    });
}

void store::serve_feeds()
{
    for (auto it = feeds_.begin(); it != feeds_.end();) {
        json rows = changes_after(it->table, it->after);
        if (rows.empty()) {
            ++it;
            continue;
        }
        answer(it->reply, http_ok, with_version(std::move(rows)));
        it = feeds_.erase(it);
    }
}

std::string base64(const std::string& text)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr std::size_t group{3};
    constexpr unsigned digit_bits{6};
    constexpr unsigned byte_bits{8};
    constexpr unsigned mask{63};
    std::string out;
    for (std::size_t at{0}; at < text.size(); at += group) {
        std::uint32_t bits{0};
        for (std::size_t i{0}; i < group; ++i) {
            const bool is_inside = at + i < text.size();
            bits =
                (bits << byte_bits) | (is_inside ? static_cast<unsigned char>(text[at + i]) : 0U);
        }
        for (std::size_t i{0}; i <= group; ++i) {
            const bool is_inside = at + i <= text.size();
            out += is_inside ? digits[(bits >> (digit_bits * (group - i))) & mask] : '=';
        }
    }
    return out;
}

} // namespace review
