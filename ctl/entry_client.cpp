/// \file
/// Fail-over between entry VMs and the reading of their answers.
#include "entry_client.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace cuminmoor::ctl {

namespace {

/// Another entry VM may be able to do what this one refused for its own sake.
bool is_worth_another(const entry_result& result, bool repeatable)
{
    const bool refused_here =
        result.result_code == static_cast<int>(result_code::shutting_down) ||
        result.result_code == static_cast<int>(result_code::store_unavailable);
    return refused_here || result.exit == exit_code::unreachable ||
           (repeatable && result.exit == exit_code::outcome_unknown);
}

entry_result from_failure(const std::string& entry, const http_failure& failure)
{
    entry_result result;
    result.exit = failure.maybe_sent ? exit_code::outcome_unknown : exit_code::unreachable;
    result.message = absl::StrCat("entry VM ", entry, ": ", failure.message,
                                  failure.maybe_sent ? "; whether it took effect is not known"
                                                     : "; nothing was sent");
    return result;
}

std::string message_of(const nlohmann::json& body)
{
    if (!body.is_object()) {
        return "the answer has no readable body";
    }
    const auto name = body.value("name", nlohmann::json{});
    const auto message = body.value("message", nlohmann::json{});
    return absl::StrCat(name.is_string() ? name.get<std::string>() : "error", ": ",
                        message.is_string() ? message.get<std::string>() : "no message");
}

entry_result from_answer(const std::string& entry, http_answer answer)
{
    entry_result result;
    const auto code = answer.headers.find("x-result-code");
    result.body = std::move(answer.body);
    result.json = nlohmann::json::parse(result.body, nullptr, false);
    if (code == answer.headers.end()) {
        const bool whole = answer.status == 200;
        result.exit = whole ? exit_code::ok : exit_code::outcome_unknown;
        if (!whole) {
            result.message = absl::StrCat("entry VM ", entry, ": HTTP status ", answer.status,
                                          " without X-Result-Code; is this an entry VM?");
        }
        return result;
    }
    if (!absl::SimpleAtoi(code->second, &result.result_code)) {
        result.exit = exit_code::internal;
        result.message = absl::StrCat("entry VM ", entry, ": X-Result-Code is no number");
        return result;
    }
    result.exit = exit_for(result.result_code);
    if (!result.ok()) {
        result.message = message_of(result.json);
    }
    return result;
}

} // namespace

exit_code exit_for(int result_code)
{
    constexpr int hundred = 100;
    switch (result_code / hundred) {
    case 0:
        return result_code == 0 ? exit_code::ok : exit_code::internal;
    case 1:
    case 2:
        return exit_code::refused;
    case 3:
        return exit_code::outcome_unknown;
    case 4:
        return exit_code::conflict;
    default:
        return exit_code::internal;
    }
}

entry_client::entry_client(std::vector<std::string> entries, millis timeout,
                           exchange_function exchange)
    : entries_{std::move(entries)}, timeout_{timeout}, exchange_{std::move(exchange)}
{
}

entry_result entry_client::call(const entry_call& call) const
{
    entry_result worst;
    worst.exit = exit_code::unreachable;
    for (const auto& entry : entries_) {
        auto result = call_one(entry, call);
        if (!is_worth_another(result, call.repeatable)) {
            return result;
        }
        // "May have run" and "was refused" say more than "could not be reached".
        if (result.exit != exit_code::unreachable || worst.message.empty()) {
            worst = std::move(result);
        }
    }
    return worst;
}

entry_result entry_client::call_one(const std::string& entry, const entry_call& call) const
{
    http_request request;
    request.method = call.method;
    request.url = absl::StrCat("http://", entry, call.target);
    request.headers = call.headers;
    request.body = call.body;
    request.timeout = timeout_;
    auto result = exchange_(request);
    if (const auto* const failure = std::get_if<http_failure>(&result)) {
        return from_failure(entry, *failure);
    }
    return from_answer(entry, std::get<http_answer>(std::move(result)));
}

} // namespace cuminmoor::ctl
