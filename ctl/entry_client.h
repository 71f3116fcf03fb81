/// \file
/// Calls to the entry VMs, with fail-over where a repeat does no harm.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cuminmoor/clock.h"
#include "cuminmoor/result.h"
#include "exit_code.h"
#include "http_exchange.h"

namespace cuminmoor::ctl {

/// A call as a command asks for it.
struct entry_call {
    std::string method{"GET"};
    /// Path with query, escaped.
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Sending it twice does no harm.
    bool repeatable{false};
};

struct entry_result {
    exit_code exit{exit_code::internal};
    /// Number of the result code; 0 also when no entry VM answered.
    int result_code{0};
    std::string body;
    /// The body as JSON; discarded when it is none.
    nlohmann::json json;
    /// What went wrong, for people; empty when nothing did.
    std::string message;

    [[nodiscard]] bool ok() const { return exit == exit_code::ok; }
};

/// Carries out one exchange; replaced in tests.
using exchange_function = std::function<http_result(const http_request&)>;

class entry_client {
public:
    /// \param entries "a.b.c.d:port" of each entry VM, tried in this order; not empty.
    entry_client(std::vector<std::string> entries, millis timeout,
                 exchange_function exchange = exchange_http);

    /// Sends the call to the first entry VM that takes it. Goes on to the next one only when the
    /// call was certainly not run or is repeatable.
    [[nodiscard]] entry_result call(const entry_call& call) const;

    /// Sends the call to one entry VM only.
    [[nodiscard]] entry_result call_one(const std::string& entry, const entry_call& call) const;

    [[nodiscard]] const std::vector<std::string>& entries() const { return entries_; }

private:
    std::vector<std::string> entries_;
    millis timeout_;
    exchange_function exchange_;
};

/// \return the exit code that stands for a result code of the wire.
exit_code exit_for(int result_code);

} // namespace cuminmoor::ctl
