/// \file
/// Stand-in for the platform's store: rows in tables, transactions, reads and change feeds.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <tuple>

#include "http.h"
#include "nlohmann/json.hpp"

namespace review {

using nlohmann::json;

class store {
public:
    store();
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;
    store(store&&) = delete;
    store& operator=(store&&) = delete;

    [[nodiscard]] std::string address() const { return server_.address(); }
    /// Writes a row, as the operator and the runners do; theirs have an empty part.
    void put(const std::string& table, const std::string& key, const json& value,
             const std::string& part = "");
    void remove(const std::string& table, const std::string& key, const std::string& part = "");

private:
    /// Table, partition and key.
    using row_key = std::tuple<std::string, std::string, std::string>;
    struct row {
        /// In base64; empty: the row was removed.
        std::optional<std::string> value;
        std::uint64_t version{0};
    };

    http_response handle(const http_request& request);
    http_response handle_transaction(const std::string& body);
    http_response handle_read(const http_request& request);
    http_response handle_feed(const http_request& request);
    [[nodiscard]] std::uint64_t version_of(const row_key& key) const;
    static json row_json(const row_key& key, const row& r);
    [[nodiscard]] json page_of(json rows, bool has_more) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    bool is_stopping_{false};
    std::uint64_t version_{0};
    std::map<row_key, row> rows_;
    http_server server_;
};

} // namespace review
