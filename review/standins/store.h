/// \file
/// Stand-in for the platform's store: tables with versions, transactions under conditions, feeds.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "http_server.h"
#include "record.h"

namespace review {

/// Figures of the users' small deployments.
struct store_limits {
    std::int64_t answer_ms{4};
    std::int64_t transaction_ms{8};
    std::size_t max_row_bytes{65'536};
    std::size_t max_entries{100};
    std::size_t max_call_bytes{1'048'576};
};

/// All functions run on the loop's thread.
class store {
public:
    store(asio::io_context& loop, record& log, store_limits limits = {});

    [[nodiscard]] std::string address() const { return server_.address(); }
    /// Listens at another address too, for one VM.
    http_server& add_entrance();

    /// Writes a row as the operator or a runner does.
    void put(const std::string& table, const std::string& key, const std::string& value);
    /// Removes a row; no effect if there is none.
    void remove(const std::string& table, const std::string& key);

    /// Answers 503 while set: nothing is done.
    void set_down(bool down);
    /// Answers take this many times as long.
    void set_slowdown(std::int64_t factor);
    [[nodiscard]] bool is_down() const { return is_down_; }
    /// The channels that are open now go silent for good; new ones work.
    void silence_open_connections();
    /// This share of the transactions, in percent, is done seconds later and not answered.
    void set_late_share(unsigned percent) { late_percent_ = percent; }

private:
    using row_key = std::tuple<std::string, std::string, std::string>;
    struct row {
        std::string value;
        std::uint64_t version{0};
    };
    struct change {
        std::uint64_t version{0};
        row_key key;
        bool is_removal{false};
        std::string value;
    };
    struct feed_call {
        std::uint64_t number{0};
        std::string table;
        std::uint64_t after{0};
        reply_function reply;
    };

    void handle(const http_request& request, const reply_function& reply);
    void answer(const reply_function& reply, int status, const nlohmann::json& body,
                std::int64_t extra_ms = 0);
    void handle_transaction(const http_request& request, const reply_function& reply);
    void execute(const nlohmann::json& body, const reply_function& reply);
    /// \return what makes the transaction invalid, or an empty text.
    [[nodiscard]] std::string fault_of(const std::string& text, const nlohmann::json& body) const;
    void handle_read(const http_request& request, const reply_function& reply);
    void handle_feed(const http_request& request, const reply_function& reply);
    void write(const row_key& key, const std::string& value);
    void erase(const row_key& key);
    void serve_feeds();
    [[nodiscard]] nlohmann::json changes_after(const std::string& table, std::uint64_t after) const;
    [[nodiscard]] nlohmann::json with_version(nlohmann::json rows) const;
    void after(std::int64_t delay_ms, std::function<void()> action);

    asio::io_context& loop_;
    record& record_;
    store_limits limits_;
    std::map<row_key, row> rows_;
    std::vector<change> changes_;
    std::uint64_t version_{1};
    std::list<feed_call> feeds_;
    std::uint64_t last_feed_{0};
    std::int64_t transactions_end_at_{0};
    bool is_down_{false};
    std::int64_t slowdown_{1};
    unsigned late_percent_{0};
    std::vector<std::unique_ptr<http_server>> entrances_;
    http_server server_;
};

/// \return the text in base64.
std::string base64(const std::string& text);

} // namespace review
