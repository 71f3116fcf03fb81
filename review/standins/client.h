/// \file
/// Blocking HTTP client for the calls of clients; a connection for each call.
#pragma once

#include <cstdint>
#include <string>

namespace review {

struct http_answer {
    /// 0: no answer in time, or none at all.
    int status{0};
    std::string body;
};

struct http_call {
    std::string method{"GET"};
    std::string address;
    std::string path;
    std::string host;
    std::string body;
    std::int64_t timeout_ms{3'000};
};

http_answer send_call(const http_call& call);

} // namespace review
