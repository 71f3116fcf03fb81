/// \file
/// Options and callbacks of one libcurl transfer.
#include "http_transfer.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "io_limits.h"

namespace cuminmoor::io {

namespace {

constexpr int http_continue_end{200};
constexpr int http_no_content{204};
constexpr int http_not_modified{304};

int parse_status_line(std::string_view line)
{
    const auto space = line.find(' ');
    int status{0};
    if (space != std::string_view::npos) {
        const std::string_view digits = line.substr(space + 1);
        std::from_chars(digits.data(), digits.data() + digits.size(), status);
    }
    return status;
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

/// An answer that ends with its connection cannot be told from a truncated one.
bool has_delimited_body(const http_result& r)
{
    return r.status == http_no_content || r.status == http_not_modified ||
           find_header(r.headers, "Content-Length") != nullptr ||
           find_header(r.headers, "Transfer-Encoding") != nullptr;
}

void append(curl_list& list, const std::string& line)
{
    curl_slist* const longer = curl_slist_append(list.get(), line.c_str());
    if (longer != nullptr) {
        // The head may be new; the list itself stays.
        (void)list.release();
        list.reset(longer);
    }
}

} // namespace

http_transfer::http_transfer(call_number number, http_call call, http_callback done,
                             clock_source& clock)
    : number_{number}, call_{std::move(call)}, done_{std::move(done)}, clock_{clock},
      url_{"http://" + call_.address + call_.target}
{
}

void http_transfer::prepare(curl_easy_handle easy, instant now)
{
    easy_ = std::move(easy);
    curl_easy_reset(easy_.get());
    set_request(now);
    set_limits(now);
    set_callbacks();
}

void http_transfer::set_request(instant now)
{
    CURL* const e = easy_.get();
    curl_easy_setopt(e, CURLOPT_URL, url_.c_str());
    headers_ = build_headers(now);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, headers_.get());
    if (call_.body || call_.method == "POST") {
        const bool has_body = call_.body != nullptr;
        curl_easy_setopt(e, CURLOPT_POST, 1L);
        curl_easy_setopt(e, CURLOPT_POSTFIELDS, has_body ? call_.body->data() : "");
        curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(has_body ? call_.body->size() : 0));
    }
    curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, call_.method.c_str());
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, call_.fresh_connection ? 1L : 0L);
}

void http_transfer::set_limits(instant now)
{
    CURL* const e = easy_.get();
    const std::int64_t left = std::max<std::int64_t>(1, (call_.deadline - now).count);
    constexpr std::int64_t ms_per_second{1'000};
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, static_cast<long>(left));
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(std::min(left, client_connect_timeout.count)));
    curl_easy_setopt(e, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(client_connection_age.count / ms_per_second));
    curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(e, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
}

void http_transfer::set_callbacks()
{
    CURL* const e = easy_.get();
    curl_easy_setopt(e, CURLOPT_PRIVATE, this);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, &http_transfer::before_request);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, &http_transfer::header_line);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, &http_transfer::body_bytes);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, this);
}

curl_list http_transfer::build_headers(instant now) const
{
    curl_list list;
    // Without these the library adds a form's content type and waits for "100 Continue".
    append(list, "Content-Type: application/json");
    append(list, "Expect:");
    for (const http_header& h : call_.headers) {
        append(list, h.name + ": " + h.value);
    }
    if (call_.sends_deadline) {
        append(list, "X-Deadline-Ms: " + std::to_string((call_.deadline - now).count));
    }
    return list;
}

void http_transfer::finish(CURLcode code)
{
    if (code == CURLE_OK && head_complete_) {
        result_.outcome = http_outcome::answered;
    }
    else {
        result_.outcome = sent_ ? http_outcome::lost : http_outcome::not_sent;
        if (result_.error.empty()) {
            result_.error = curl_easy_strerror(code);
        }
    }
    done_(std::move(result_));
}

void http_transfer::refuse(std::string reason)
{
    result_.outcome = http_outcome::not_sent;
    result_.error = std::move(reason);
    done_(std::move(result_));
}

bool http_transfer::fail(const char* reason)
{
    result_.error = reason;
    return false;
}

bool http_transfer::may_send()
{
    const instant now = clock_.now();
    if (sent_ && !call_.resendable) {
        return fail("connection closed before the answer");
    }
    if (now > call_.not_after) {
        return fail("not_after passed before sending");
    }
    sent_ = true;
    result_.sent_at = now;
    return true;
}

bool http_transfer::on_header_line(std::string_view line)
{
    const std::string_view text = trim(line);
    if (head_complete_) {
        return true; // trailers
    }
    if (text.empty()) {
        return result_.status < http_continue_end || on_headers_end();
    }
    if (text.starts_with("HTTP/")) {
        result_.status = parse_status_line(text);
        result_.headers.clear();
        return true;
    }
    const auto colon = text.find(':');
    if (colon != std::string_view::npos) {
        result_.headers.push_back(
            {std::string{text.substr(0, colon)}, std::string{trim(text.substr(colon + 1))}});
    }
    return true;
}

bool http_transfer::on_headers_end()
{
    if (!has_delimited_body(result_)) {
        return fail("answer without a length");
    }
    if (!call_.request_id.empty()) {
        const std::string* const id = find_header(result_.headers, "X-Request-Id");
        if (id == nullptr || *id != call_.request_id) {
            return fail("answer to another request");
        }
    }
    head_complete_ = true;
    return true;
}

bool http_transfer::on_body(std::string_view bytes)
{
    if (result_.body.size() + bytes.size() > call_.max_answer_bytes) {
        return fail("answer too large");
    }
    result_.body.append(bytes);
    return true;
}

int http_transfer::before_request(void* self, char* /*remote_ip*/, char* /*local_ip*/,
                                  int /*remote_port*/, int /*local_port*/)
{
    return static_cast<http_transfer*>(self)->may_send() ? CURL_PREREQFUNC_OK
                                                         : CURL_PREREQFUNC_ABORT;
}

std::size_t http_transfer::header_line(char* data, std::size_t size, std::size_t n, void* self)
{
    const std::size_t bytes = size * n;
    return static_cast<http_transfer*>(self)->on_header_line({data, bytes}) ? bytes : 0;
}

std::size_t http_transfer::body_bytes(char* data, std::size_t size, std::size_t n, void* self)
{
    const std::size_t bytes = size * n;
    // An empty chunk must not look like a refusal, which is 0 as well.
    return static_cast<http_transfer*>(self)->on_body({data, bytes}) ? bytes : CURL_WRITEFUNC_ERROR;
}

} // namespace cuminmoor::io
