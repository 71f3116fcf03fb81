/// \file
/// JSON encoding of job specifications, and readers shared with other encodings.
#include "cuminmoor/config.h"
#include "cuminmoor/json_units.h"
#include "cuminmoor/status.h"
#include "records_json.h"

namespace cuminmoor {

namespace {

/// Zero to ten years in milliseconds, so that sums of such durations can't overflow.
constexpr number_range job_time_range{0, 10LL * 365 * 24 * 3'600 * 1'000};

} // namespace

nlohmann::json job_to_json(const job_spec& spec)
{
    return {{"id", spec.id.value},
            {"team", spec.team.value},
            {"owner", spec.owner.value},
            {"kind", spec.kind == work_class::batch ? "batch" : "latency_critical"},
            {"tasks", spec.tasks},
            {"task_size", resources_to_json(spec.task_size)},
            {"run_time_ms", spec.run_time.count},
            {"deadline_ms", spec.deadline.count},
            {"job_class", spec.job_class},
            {"command", spec.command}};
}

void read_work_class(json_reader& r, work_class& out)
{
    std::string kind = "batch";
    r.optional_name("kind", kind);
    if (kind != "batch" && kind != "latency_critical") {
        r.fail(out_of_range_error("field 'kind' must be batch or latency_critical"));
    }
    out = kind == "batch" ? work_class::batch : work_class::latency_critical;
}

void read_size(json_reader& r, const char* field, resources& out)
{
    if (const auto* const value = r.required(field)) {
        const auto size = resources_from_json(*value, field);
        if (size.ok()) {
            out = *size;
        }
        r.fail(size.status());
    }
}

void read_spec(json_reader& r, job_spec& out)
{
    if (const auto* const value = r.required("spec")) {
        auto spec = job_from_json(*value);
        r.fail(spec.status());
        if (spec.ok()) {
            out = *std::move(spec);
        }
    }
}

const nlohmann::json& read_array(json_reader& r, const char* field)
{
    static const nlohmann::json empty = nlohmann::json::array();
    const auto* const value = r.required(field);
    if (value != nullptr && !value->is_array()) {
        r.fail(malformed_error(std::string{"field '"} + field + "' must be an array"));
        return empty;
    }
    return value == nullptr ? empty : *value;
}

void read_names(json_reader& r, const char* field, std::set<std::string>& out)
{
    for (const auto& item : read_array(r, field)) {
        if (!item.is_string()) {
            r.fail(malformed_error(std::string{"field '"} + field + "' must contain only strings"));
            return;
        }
        out.insert(item.get<std::string>());
    }
}

absl::StatusOr<job_spec> job_from_json(const nlohmann::json& body)
{
    json_reader r{body, "job"};
    job_spec spec;
    r.name("id", spec.id.value);
    r.name("team", spec.team.value);
    r.optional_name("owner", spec.owner.value);
    read_work_class(r, spec.kind);
    r.optional_number("tasks", spec.tasks, {1, config::max_tasks_per_job});
    read_size(r, "task_size", spec.task_size);
    r.optional_number("run_time_ms", spec.run_time.count, job_time_range);
    r.optional_number("deadline_ms", spec.deadline.count, job_time_range);
    r.optional_name("job_class", spec.job_class);
    r.optional_text("command", spec.command, max_command_bytes);
    if (auto fault = r.finish(); !fault.ok()) {
        return fault;
    }
    return spec;
}

std::string encode_job(const job_spec& spec)
{
    return dump_json(job_to_json(spec));
}

absl::StatusOr<job_spec> decode_job(const std::string& text)
{
    const auto body = parse_json(text, "job");
    return body.ok() ? job_from_json(*body) : body.status();
}

} // namespace cuminmoor
