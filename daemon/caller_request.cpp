/// \file
/// Parsing of callers' requests.
#include "caller_request.h"

#include <charconv>
#include <utility>

#include "cuminmoor/config.h"
#include "cuminmoor/json_reader.h"
#include "cuminmoor/status.h"
#include "url.h"

namespace cuminmoor::io {

namespace {

constexpr std::string_view path_prefix{"/v1/services/"};
constexpr std::string_view path_suffix{"/requests"};
constexpr std::int64_t max_hops{8};

absl::StatusOr<std::string> read_name(const http_request& r, const char* header)
{
    const std::string* const value = find_header(r.headers, header);
    if (value == nullptr || value->empty()) {
        return missing_field_error(std::string{"header "} + header + " is missing; add it");
    }
    if (!is_name_or_empty(*value)) {
        return out_of_range_error(std::string{"header "} + header + " must be 1 to " +
                                  std::to_string(max_name_bytes) +
                                  " printable characters without space and '/'");
    }
    return *value;
}

absl::StatusOr<std::int64_t> read_number(const http_request& r, const char* header,
                                         number_range range, std::int64_t otherwise)
{
    const std::string* const text = find_header(r.headers, header);
    if (text == nullptr) {
        return otherwise;
    }
    std::int64_t number{0};
    const char* const end = text->data() + text->size();
    const auto [stop, error] = std::from_chars(text->data(), end, number);
    if (error == std::errc::invalid_argument || stop != end) {
        return malformed_error(std::string{"header "} + header + " must be a whole number");
    }
    if (error != std::errc{} || number < range.low || number > range.high) {
        return out_of_range_error(std::string{"header "} + header + " must be " +
                                  std::to_string(range.low) + " to " + std::to_string(range.high));
    }
    return number;
}

absl::StatusOr<std::string> read_service(const std::string& escaped)
{
    const auto service = unescape_path(escaped);
    if (!service || service->empty() || !is_name_or_empty(*service)) {
        return malformed_error("the service in the path is not a name");
    }
    return *service;
}

} // namespace

std::optional<std::string> match_request_path(const std::string& path)
{
    const bool matches = path.size() > path_prefix.size() + path_suffix.size() &&
                         path.starts_with(path_prefix) && path.ends_with(path_suffix);
    if (!matches) {
        return std::nullopt;
    }
    std::string service =
        path.substr(path_prefix.size(), path.size() - path_prefix.size() - path_suffix.size());
    return service.find('/') == std::string::npos ? std::optional{std::move(service)}
                                                  : std::nullopt;
}

absl::StatusOr<request_arrived> parse_caller_request(const http_request& r,
                                                     const std::string& service, instant now)
{
    const auto name = read_service(service);
    const auto caller = read_name(r, "X-Caller");
    const auto id = read_name(r, "X-Request-Id");
    const auto time_left = read_number(r, "X-Deadline-Ms", {1, config::max_request_deadline.count},
                                       config::default_request_deadline.count);
    const auto idempotent = read_number(r, "X-Idempotent", {0, 1}, 0);
    const auto hops = read_number(r, "X-Hops", {0, max_hops}, 0);
    for (const absl::Status& fault : {name.status(), caller.status(), id.status(),
                                      time_left.status(), idempotent.status(), hops.status()}) {
        if (!fault.ok()) {
            return fault;
        }
    }
    request_arrived arrived;
    arrived.caller.value = *caller;
    arrived.service.value = *name;
    arrived.id.value = *id;
    arrived.idempotent = *idempotent == 1;
    arrived.deadline = now + millis{*time_left};
    arrived.hops = static_cast<std::uint32_t>(*hops);
    arrived.body = r.body;
    return arrived;
}

} // namespace cuminmoor::io
