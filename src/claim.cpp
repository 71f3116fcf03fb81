/// \file
/// Claim row encoding: a JSON object with the answer body in Base64.
#include "cuminmoor/claim.h"

#include "absl/strings/escaping.h"
#include "cuminmoor/enumerators.h"
#include "nlohmann/json.hpp"
#include "stable_hash.h"

namespace cuminmoor {

namespace {

using json = nlohmann::json;

const char* name_of(claim_status status)
{
    switch (status) {
    case claim_status::open:
        return "open";
    case claim_status::done:
        return "done";
    case claim_status::answer_too_large:
        return "answer_too_large";
    case claim_status::unknown:
        return "unknown";
    }
    return "";
}

/// Percent-encodes `%` and `/`; all other characters are kept.
std::string escape(const std::string& text)
{
    std::string out;
    for (const char ch : text) {
        if (ch == '%') {
            out += "%25";
        }
        else if (ch == '/') {
            out += "%2F";
        }
        else {
            out += ch;
        }
    }
    return out;
}

bool is_string(const json& object, const char* field)
{
    return object.contains(field) && object[field].is_string();
}

absl::Status check_fields(const json& j)
{
    if (!j.is_object()) {
        return absl::InvalidArgumentError("claim row: not a JSON object");
    }
    for (const char* field : {"nonce", "service", "status", "body"}) {
        if (!is_string(j, field)) {
            return absl::InvalidArgumentError("claim row: field " + std::string{field} +
                                              " must be a string");
        }
    }
    for (const char* field : {"body_hash", "http_status"}) {
        if (!j.contains(field) || !j[field].is_number_unsigned()) {
            return absl::InvalidArgumentError("claim row: field " + std::string{field} +
                                              " must be a non-negative whole number");
        }
    }
    return absl::OkStatus();
}

absl::StatusOr<claim_status> parse_status(const std::string& name)
{
    const auto found = find_enumerator<claim_status>(name, name_of);
    if (!found) {
        return absl::InvalidArgumentError("claim row: unknown status " + name);
    }
    return *found;
}

} // namespace

std::string claim_key(const caller_id& caller, const request_id& request)
{
    return "claim/" + escape(caller.value) + "/" + escape(request.value);
}

std::uint64_t hash_body(std::string_view body)
{
    return stable_hash(body);
}

std::string encode_claim(const claim_record& record)
{
    return json{{"nonce", record.written_by.value},
                {"service", record.service.value},
                {"body_hash", record.body_hash},
                {"status", name_of(record.status)},
                {"http_status", static_cast<unsigned>(record.http_status)},
                {"body", absl::Base64Escape(record.body)}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<claim_record> decode_claim(const std::string& text)
{
    const auto j = json::parse(text, nullptr, false);
    if (auto status = check_fields(j); !status.ok()) {
        return status;
    }
    auto status = parse_status(j["status"].get<std::string>());
    if (!status.ok()) {
        return status.status();
    }
    claim_record record{.written_by = {j["nonce"].get<std::string>()},
                        .service = {j["service"].get<std::string>()},
                        .body_hash = j["body_hash"].get<std::uint64_t>(),
                        .status = *status,
                        .http_status = j["http_status"].get<int>(),
                        .body = ""};
    if (!absl::Base64Unescape(j["body"].get<std::string>(), &record.body)) {
        return absl::InvalidArgumentError("claim row: field body must be Base64");
    }
    return record;
}

} // namespace cuminmoor
