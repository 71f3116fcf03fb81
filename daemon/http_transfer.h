/// \file
/// One call in the hands of libcurl: its options, and what its callbacks have seen so far.
#pragma once

#include <memory>
#include <string>

#include <curl/curl.h>

#include "http_client.h"

namespace cuminmoor::io {

struct curl_easy_deleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
struct curl_list_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};
using curl_easy_handle = std::unique_ptr<CURL, curl_easy_deleter>;
using curl_list = std::unique_ptr<curl_slist, curl_list_deleter>;

/// Lives at one address from `prepare` to `finish`, because libcurl points to it.
class http_transfer {
public:
    http_transfer(call_number number, http_call call, http_callback done, clock_source& clock);

    /// Sets all options on the handle and keeps it.
    /// \param now reading of the clock from which the time left is counted.
    void prepare(curl_easy_handle easy, instant now);
    /// Works out the outcome and calls back. \param code what libcurl says of the transfer.
    void finish(CURLcode code);
    /// Calls back with `not_sent`; for a call that never reached libcurl.
    void refuse(std::string reason);

    [[nodiscard]] call_number number() const { return number_; }
    [[nodiscard]] const http_call& call() const { return call_; }
    [[nodiscard]] CURL* easy() const { return easy_.get(); }
    /// Gives the handle back for another transfer.
    curl_easy_handle release_easy() { return std::move(easy_); }

private:
    void set_request(instant now);
    void set_limits(instant now);
    void set_callbacks();
    curl_list build_headers(instant now) const;
    bool may_send();
    bool on_header_line(std::string_view line);
    bool on_headers_end();
    bool on_body(std::string_view bytes);
    bool fail(const char* reason);

    static int before_request(void* self, char* remote_ip, char* local_ip, int remote_port,
                              int local_port);
    static std::size_t header_line(char* data, std::size_t size, std::size_t n, void* self);
    static std::size_t body_bytes(char* data, std::size_t size, std::size_t n, void* self);

    call_number number_;
    http_call call_;
    http_callback done_;
    clock_source& clock_;
    std::string url_;
    curl_list headers_;
    curl_easy_handle easy_;
    http_result result_;
    /// True from immediately before the first byte goes. Never goes back to false.
    bool sent_{false};
    /// True once the head of the final answer is whole.
    bool head_complete_{false};
};

} // namespace cuminmoor::io
