/// \file
/// Output of the commands.
#include "report.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace cuminmoor::ctl {

exit_code report_failure(const session& s, const entry_result& result)
{
    if (s.as_json && !result.json.is_discarded() && !result.body.empty()) {
        s.out << result.body << "\n";
    }
    s.err << "error";
    if (result.result_code != 0) {
        s.err << " " << result.result_code;
    }
    s.err << ": " << result.message << "\n";
    return result.exit;
}

exit_code report_done(const session& s, const entry_result& result, const std::string& text)
{
    if (!result.ok()) {
        return report_failure(s, result);
    }
    s.out << (s.as_json ? result.body : text) << "\n";
    return exit_code::ok;
}

exit_code report_table(const session& s, const entry_result& result, const char* field,
                       const std::vector<column>& columns)
{
    if (!result.ok()) {
        return report_failure(s, result);
    }
    if (s.as_json) {
        s.out << result.body << "\n";
        return exit_code::ok;
    }
    const auto rows = result.json.is_object() ? result.json.find(field) : result.json.end();
    if (!result.json.is_object() || rows == result.json.end()) {
        s.err << "error: the answer has no field \"" << field
              << "\"; use --json and compare the versions of the programs\n";
        return exit_code::internal;
    }
    print_table(s.out, *rows, columns);
    return exit_code::ok;
}

exit_code report_fields(const session& s, const entry_result& result)
{
    if (!result.ok()) {
        return report_failure(s, result);
    }
    if (s.as_json || !result.json.is_object()) {
        s.out << result.body << "\n";
    }
    else {
        print_fields(s.out, result.json);
    }
    return exit_code::ok;
}

entry_call reading_call(const std::string& target)
{
    entry_call call;
    call.target = target;
    call.repeatable = true;
    return call;
}

entry_call posting_call(const std::string& target, const nlohmann::json& body)
{
    entry_call call;
    call.method = "POST";
    call.target = target;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body.dump();
    return call;
}

entry_call change_call(const nlohmann::json& change, const arguments& given)
{
    nlohmann::json body{{"change", change}};
    std::uint64_t expected{0};
    if (given.has("expected") && absl::SimpleAtoi(given.text("expected"), &expected)) {
        body["expected"] = expected;
    }
    return posting_call("/v1/configuration/changes", body);
}

exit_code report_change(const session& s, const entry_call& call, const std::string& text)
{
    const auto result = s.entries.call(call);
    const auto version = cell_text(result.json, "version");
    return report_done(s, result, absl::StrCat(text, "; configuration version ", version));
}

} // namespace cuminmoor::ctl
