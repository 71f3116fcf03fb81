/// \file
/// HTTP requests and answers as the daemon sees them, independent of the library.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cuminmoor/request.h"

namespace cuminmoor::io {

struct http_header {
    std::string name;
    std::string value;
};

/// \return the value of the first header of that name, case ignored; nothing when there is none.
const std::string* find_header(const std::vector<http_header>& headers, std::string_view name);

/// \return true if a header can carry the text as it is: not empty, without control characters
/// other than tabs, and without white space at either end.
bool is_header_value(std::string_view text);

/// \return true if the first line of a request can carry the text as its target.
bool is_target(std::string_view text);

/// Identifies one connection of a caller for as long as the server runs.
using connection_number = std::uint64_t;

/// A request that was read whole.
struct http_request {
    connection_number connection{0};
    std::string method;
    /// Without the query.
    std::string path;
    std::map<std::string, std::string> query;
    std::vector<http_header> headers;
    body_text body;
};

struct http_response {
    int status{200};
    std::string content_type;
    std::vector<http_header> headers;
    body_text body;
    /// Closes the connection after this answer.
    bool close{false};
    /// The client is one of our VMs: its connection is among the last that are closed for lack of
    /// room.
    bool trusts_client{false};
};

/// Sends the answer of one request; to be called exactly once, from any thread.
using http_responder = std::function<void(http_response)>;

} // namespace cuminmoor::io
