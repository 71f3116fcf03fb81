/// \file
/// One HTTP exchange at a time over libcurl; tells apart what was certainly not sent.
#pragma once

#include <map>
#include <string>
#include <variant>

#include "cuminmoor/clock.h"

namespace cuminmoor::ctl {

struct http_request {
    std::string method{"GET"};
    std::string url;
    std::map<std::string, std::string> headers;
    std::string body;
    millis timeout{10'000};
};

/// A whole answer.
struct http_answer {
    int status{0};
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// No whole answer came.
struct http_failure {
    /// False only when no byte of the request left this process.
    bool maybe_sent{true};
    std::string message;
};

using http_result = std::variant<http_answer, http_failure>;

/// Carries out one exchange on a connection of its own, and waits for its end.
http_result exchange_http(const http_request& request);

/// \return the text with every byte escaped that must not stand in a query or path segment.
std::string escape_url(const std::string& text);

} // namespace cuminmoor::ctl
