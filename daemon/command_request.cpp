/// \file
/// Parsing of operators' commands; one function a route.
#include "command_request.h"

#include <array>
#include <utility>

#include "absl/strings/numbers.h"
#include "cuminmoor/job.h"
#include "cuminmoor/json_reader.h"
#include "cuminmoor/status.h"
#include "url.h"

namespace cuminmoor::io {

namespace {

using nlohmann::json;

constexpr number_range version_range{0, INT64_MAX};
constexpr std::size_t max_list_limit{1'000};
constexpr std::size_t max_cancelled_jobs{10'000};
constexpr std::string_view job_path_prefix{"/v1/jobs/"};

using parsed_command = absl::StatusOr<command>;

std::string query_value(const http_request& r, const char* name)
{
    const auto found = r.query.find(name);
    return found == r.query.end() ? std::string{} : found->second;
}

parsed_command parse_change(const http_request& r, std::int64_t /*wall_clock_s*/)
{
    const auto document = parse_json(*r.body, "body");
    if (!document.ok()) {
        return document.status();
    }
    json_reader reader{*document, "body"};
    change_configuration parsed;
    if (const json* const change = reader.required("change")) {
        auto step = change_from_json(*change);
        reader.fail(step.status());
        parsed.change = std::move(step).value_or(use_preset{});
    }
    if (reader.find("expected") != nullptr) {
        parsed.expected.emplace();
        reader.number("expected", parsed.expected->value, version_range);
    }
    if (auto fault = reader.finish(); !fault.ok()) {
        return fault;
    }
    return parsed;
}

parsed_command parse_submission(const http_request& r, std::int64_t wall_clock_s)
{
    const std::string* const caller = find_header(r.headers, "X-Caller");
    if (caller == nullptr || caller->empty()) {
        return missing_field_error("header X-Caller is missing; add it");
    }
    if (!is_name_or_empty(*caller)) {
        return out_of_range_error("header X-Caller must be a name without space and '/'");
    }
    const auto document = parse_json(*r.body, "body");
    if (!document.ok()) {
        return document.status();
    }
    json_reader reader{*document, "body"};
    submit_job parsed;
    if (const json* const job = reader.required("job")) {
        auto spec = decode_job(dump_json(*job));
        reader.fail(spec.status());
        parsed.spec = std::move(spec).value_or(job_spec{});
    }
    reader.optional_name("failure_domain", parsed.failure_domain.value);
    if (auto fault = reader.finish(); !fault.ok()) {
        return fault;
    }
    parsed.spec.owner.value = *caller;
    parsed.submitted_at_s = wall_clock_s;
    return parsed;
}

absl::Status read_job_ids(const json& list, std::vector<job_id>& out)
{
    if (!list.is_array()) {
        return malformed_error("body: field 'jobs' must be a list of job ids");
    }
    if (list.empty() || list.size() > max_cancelled_jobs) {
        return out_of_range_error("body: field 'jobs' must hold 1 to " +
                                  std::to_string(max_cancelled_jobs) + " ids");
    }
    for (const json& item : list) {
        if (!item.is_string()) {
            return malformed_error("body: field 'jobs' must be a list of job ids");
        }
        const auto& id = item.get_ref<const std::string&>();
        if (id.empty() || !is_name_or_empty(id)) {
            return out_of_range_error("body: field 'jobs' holds an id that is not a name");
        }
        out.push_back({id});
    }
    return absl::OkStatus();
}

parsed_command parse_cancellation(const http_request& r, std::int64_t /*wall_clock_s*/)
{
    const auto document = parse_json(*r.body, "body");
    if (!document.ok()) {
        return document.status();
    }
    json_reader reader{*document, "body"};
    cancel_jobs parsed;
    if (const json* const jobs = reader.required("jobs")) {
        reader.fail(read_job_ids(*jobs, parsed.jobs));
    }
    if (auto fault = reader.finish(); !fault.ok()) {
        return fault;
    }
    return parsed;
}

parsed_command parse_listing(const http_request& r, std::int64_t /*wall_clock_s*/)
{
    list_jobs parsed;
    parsed.prefix = query_value(r, "prefix");
    parsed.after = query_value(r, "after");
    const std::string limit = query_value(r, "limit");
    if (!limit.empty() && !absl::SimpleAtoi(limit, &parsed.limit)) {
        return malformed_error("query: limit must be a whole number");
    }
    if (parsed.limit == 0 || parsed.limit > max_list_limit) {
        return out_of_range_error("query: limit must be 1 to " + std::to_string(max_list_limit));
    }
    if (!is_name_or_empty(parsed.prefix) || !is_name_or_empty(parsed.after)) {
        return out_of_range_error("query: prefix and after must be names or empty");
    }
    return parsed;
}

parsed_command parse_show_job(const http_request& r)
{
    const auto id = unescape_path(std::string_view{r.path}.substr(job_path_prefix.size()));
    if (!id || id->empty() || !is_name_or_empty(*id)) {
        return malformed_error("the job in the path is not a name");
    }
    return show_job{{*id}};
}

parsed_command parse_audit(const http_request& r, std::int64_t /*wall_clock_s*/)
{
    show_audit parsed{{query_value(r, "caller")}, {query_value(r, "team")}};
    if (parsed.caller.empty() && parsed.team.empty()) {
        return missing_field_error("query: name a caller or a team");
    }
    if (!is_name_or_empty(parsed.caller.value) || !is_name_or_empty(parsed.team.value)) {
        return out_of_range_error("query: caller and team must be names");
    }
    return parsed;
}

template <typename Command>
parsed_command parse_bare(const http_request& /*r*/, std::int64_t /*wall_clock_s*/)
{
    return Command{};
}

struct route {
    std::string_view method;
    std::string_view path;
    parsed_command (*parse)(const http_request& r, std::int64_t wall_clock_s);
};

constexpr std::array routes{
    route{"GET", "/v1/configuration", parse_bare<show_configuration>},
    route{"POST", "/v1/configuration/changes", parse_change},
    route{"POST", "/v1/jobs", parse_submission},
    route{"GET", "/v1/jobs", parse_listing},
    route{"POST", "/v1/jobs/cancel", parse_cancellation},
    route{"GET", "/v1/status", parse_bare<show_status>},
    route{"GET", "/v1/vms", parse_bare<list_vms>},
    route{"GET", "/v1/audit", parse_audit},
};

} // namespace

std::optional<absl::StatusOr<command>> parse_command(const http_request& r,
                                                     std::int64_t wall_clock_s)
{
    for (const route& known : routes) {
        if (r.method == known.method && r.path == known.path) {
            return known.parse(r, wall_clock_s);
        }
    }
    if (r.method == "GET" && r.path.starts_with(job_path_prefix)) {
        return parse_show_job(r);
    }
    return std::nullopt;
}

} // namespace cuminmoor::io
