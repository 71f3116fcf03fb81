/// \file
/// HTTP exchange on libcurl's easy interface.
#include "http_exchange.h"

#include <algorithm>
#include <cctype>
#include <memory>
#include <string_view>

#include <curl/curl.h>

#include "absl/strings/str_cat.h"

namespace cuminmoor::ctl {

namespace {

constexpr millis connect_timeout{1'000};

using curl_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using curl_headers = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

CURL* new_handle()
{
    static const auto initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    return initialized == CURLE_OK ? curl_easy_init() : nullptr;
}

std::size_t take_body(const char* data, std::size_t size, std::size_t count, void* answer)
{
    static_cast<http_answer*>(answer)->body.append(data, size * count);
    return size * count;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t\r\n");
    return first == std::string_view::npos ? std::string_view{}
                                           : text.substr(first, last - first + 1);
}

std::size_t take_header(const char* data, std::size_t size, std::size_t count, void* answer)
{
    const std::string_view line{data, size * count};
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        std::string name{line.substr(0, colon)};
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        static_cast<http_answer*>(answer)->headers[name] = trimmed(line.substr(colon + 1));
    }
    return line.size();
}

curl_headers make_headers(const http_request& request)
{
    // An empty "Expect" keeps libcurl from waiting for "100 Continue".
    curl_headers list{curl_slist_append(nullptr, "Expect:"), &curl_slist_free_all};
    for (const auto& [name, value] : request.headers) {
        const auto line = absl::StrCat(name, ": ", value);
        list.reset(curl_slist_append(list.release(), line.c_str()));
    }
    return list;
}

void set_up(CURL* curl, const http_request& request, http_answer& answer)
{
    curl_easy_setopt(curl, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (request.method != "GET") {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.c_str());
    }
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count));
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(std::min(connect_timeout, request.timeout).count));
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &take_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &take_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &answer);
}

http_failure failure_of(CURL* curl, CURLcode code)
{
    long sent_bytes = 0;
    curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent_bytes);
    return {code != CURLE_COULDNT_CONNECT && sent_bytes != 0, curl_easy_strerror(code)};
}

} // namespace

http_result exchange_http(const http_request& request)
{
    const curl_handle curl{new_handle(), &curl_easy_cleanup};
    if (curl == nullptr) {
        return http_failure{false, "libcurl could not be initialized"};
    }
    http_answer answer;
    const auto headers = make_headers(request);
    set_up(curl.get(), request, answer);
    curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
    const auto code = curl_easy_perform(curl.get());
    if (code != CURLE_OK) {
        return failure_of(curl.get(), code);
    }
    long status = 0;
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    return answer;
}

std::string escape_url(const std::string& text)
{
    const curl_handle curl{new_handle(), &curl_easy_cleanup};
    char* const escaped = curl_easy_escape(curl.get(), text.c_str(), static_cast<int>(text.size()));
    if (escaped == nullptr) {
        return {};
    }
    std::string result{escaped};
    curl_free(escaped);
    return result;
}

} // namespace cuminmoor::ctl
