/// \file
/// Parsing of submitted jobs.
#include "job_json.h"

#include "cuminmoor/json_reader.h"
#include "cuminmoor/json_units.h"
#include "cuminmoor/status.h"

namespace cuminmoor::io {

namespace {

constexpr number_range task_range{1, 10'000};
constexpr number_range time_range_ms{0, 365LL * 24 * 3'600 * 1'000};
constexpr std::size_t max_command_bytes{4'096};

work_class parse_kind(const std::string& text, json_reader& r)
{
    if (text == "latency_critical") {
        return work_class::latency_critical;
    }
    if (!text.empty() && text != "batch") {
        r.fail(out_of_range_error("job: kind '" + text + "' is not batch or latency_critical"));
    }
    return work_class::batch;
}

} // namespace

absl::StatusOr<job_spec> parse_job(const nlohmann::json& value)
{
    json_reader r{value, "job"};
    job_spec spec;
    std::string kind;
    r.name("id", spec.id.value);
    r.name("team", spec.team.value);
    r.optional_name("kind", kind);
    r.optional_number("tasks", spec.tasks, task_range);
    if (const auto* const size = r.required("task_size")) {
        const auto read = resources_from_json(*size, "task_size");
        r.fail(read.status());
        spec.task_size = read.value_or(resources{});
    }
    r.optional_number("run_time_ms", spec.run_time.count, time_range_ms);
    r.optional_number("deadline_ms", spec.deadline.count, time_range_ms);
    r.optional_name("job_class", spec.job_class);
    r.optional_text("command", spec.command, max_command_bytes);
    spec.kind = parse_kind(kind, r);
    if (auto fault = r.finish(); !fault.ok()) {
        return fault;
    }
    return spec;
}

} // namespace cuminmoor::io
