/// \file
/// JSON encoding of log records: an array of objects, each with its kind in "k".
#include <algorithm>
#include <array>

#include "cuminmoor/config.h"
#include "cuminmoor/enumerators.h"
#include "cuminmoor/json_units.h"
#include "cuminmoor/status.h"
#include "records_json.h"

namespace cuminmoor {

namespace {

using nlohmann::json;

json attempt_to_json(const char* kind, const task_id& task, std::uint32_t attempt)
{
    return {{"k", kind}, {"job", task.job.value}, {"task", task.index}, {"attempt", attempt}};
}

json to_json(const job_admitted& r)
{
    return {{"k", "job_admitted"}, {"spec", job_to_json(r.spec)}, {"at", r.submitted_at_s}};
}
json to_json(const task_moved_in& r)
{
    json body = moved_in_to_json(r);
    body["k"] = "task_moved_in";
    return body;
}
json to_json(const task_assigned& r)
{
    json body = attempt_to_json("task_assigned", r.task, r.attempt);
    body["worker"] = r.worker.value;
    body["incarnation"] = r.incarnation;
    body["size"] = resources_to_json(r.size);
    body["capacity"] = resources_to_json(r.capacity);
    body["start_before"] = r.start_before.ms;
    return body;
}
json to_json(const task_stop_ordered& r)
{
    json body = attempt_to_json("task_stop_ordered", r.task, r.attempt);
    body["cause"] = name_of(r.cause);
    return body;
}
json to_json(const task_released& r)
{
    json body = attempt_to_json("task_released", r.task, r.attempt);
    body["cause"] = name_of(r.cause);
    body["checkpoint"] = r.checkpoint;
    return body;
}
json to_json(const task_finished& r)
{
    return attempt_to_json("task_finished", r.task, r.attempt);
}
json to_json(const task_failed& r)
{
    return attempt_to_json("task_failed", r.task, r.attempt);
}
json to_json(const task_moved_out& r)
{
    return {{"k", "task_moved_out"},
            {"job", r.task.job.value},
            {"task", r.task.index},
            {"to", r.to.value}};
}
json to_json(const job_cancelled& r)
{
    return {{"k", "job_cancelled"}, {"job", r.job.value}};
}
json to_json(const service_sized& r)
{
    json spec = job_to_json(r.spec);
    spec.erase("tasks");
    return {{"k", "service_sized"}, {"spec", std::move(spec)}, {"tasks", r.spec.tasks}};
}
json to_json(const job_forgotten& r)
{
    return {{"k", "job_forgotten"}, {"job", r.job.value}};
}

void read_task(json_reader& r, task_id& out)
{
    r.name("job", out.job.value);
    r.number("task", out.index, u32_range);
}

/// Reads the fields common to all records about an attempt.
template <typename Record>
void read_attempt(json_reader& r, Record& out)
{
    read_task(r, out.task);
    r.number("attempt", out.attempt, u32_range);
}

void read(json_reader& r, job_admitted& out)
{
    read_spec(r, out.spec);
    r.number("at", out.submitted_at_s, {});
}
void read(json_reader& r, task_assigned& out)
{
    read_attempt(r, out);
    r.name("worker", out.worker.value);
    r.optional_text("incarnation", out.incarnation, max_text_bytes);
    read_size(r, "size", out.size);
    read_size(r, "capacity", out.capacity);
    r.number("start_before", out.start_before.ms, {INT64_MIN, INT64_MAX});
}
void read(json_reader& r, task_stop_ordered& out)
{
    read_attempt(r, out);
    read_cause(r, "cause", out.cause);
}
void read(json_reader& r, task_released& out)
{
    read_attempt(r, out);
    read_cause(r, "cause", out.cause);
    r.optional_text("checkpoint", out.checkpoint, max_text_bytes);
}
void read(json_reader& r, task_finished& out)
{
    read_attempt(r, out);
}
void read(json_reader& r, task_failed& out)
{
    read_attempt(r, out);
}
void read(json_reader& r, task_moved_out& out)
{
    read_task(r, out.task);
    r.name("to", out.to.value);
}
void read(json_reader& r, job_cancelled& out)
{
    r.name("job", out.job.value);
}
void read(json_reader& r, service_sized& out)
{
    read_spec(r, out.spec);
    r.number("tasks", out.spec.tasks, {0, config::max_tasks_per_job});
}
void read(json_reader& r, job_forgotten& out)
{
    r.name("job", out.job.value);
}

using record_reader = absl::StatusOr<ledger_record> (*)(const json&);

template <typename Record>
absl::StatusOr<ledger_record> read_as(const json& body)
{
    return read_all<Record>(body, "log record", [](json_reader& r, Record& out) { read(r, out); });
}

template <>
absl::StatusOr<ledger_record> read_as<task_moved_in>(const json& body)
{
    return moved_in_from_json(body);
}

struct kind_row {
    const char* kind;
    record_reader read;
};

constexpr std::array kinds{
    kind_row{"job_admitted", read_as<job_admitted>},
    kind_row{"task_moved_in", read_as<task_moved_in>},
    kind_row{"task_assigned", read_as<task_assigned>},
    kind_row{"task_stop_ordered", read_as<task_stop_ordered>},
    kind_row{"task_released", read_as<task_released>},
    kind_row{"task_finished", read_as<task_finished>},
    kind_row{"task_failed", read_as<task_failed>},
    kind_row{"task_moved_out", read_as<task_moved_out>},
    kind_row{"job_cancelled", read_as<job_cancelled>},
    kind_row{"job_forgotten", read_as<job_forgotten>},
    kind_row{"service_sized", read_as<service_sized>},
};

absl::StatusOr<ledger_record> read_record(const json& body)
{
    json_reader r{body, "log record"};
    std::string kind;
    r.name("k", kind);
    if (auto fault = r.finish_lenient(); !fault.ok()) {
        return fault;
    }
    const auto* const found = std::find_if(
        kinds.begin(), kinds.end(), [&kind](const kind_row& row) { return kind == row.kind; });
    if (found == kinds.end()) {
        return out_of_range_error("log record: unknown kind " + kind);
    }
    return found->read(body);
}

} // namespace

const char* name_of(release_cause cause)
{
    switch (cause) {
    case release_cause::never_started:
        return "never_started";
    case release_cause::evicted:
        return "evicted";
    case release_cause::failed:
        return "failed";
    case release_cause::lapsed:
        return "lapsed";
    case release_cause::worker_restarted:
        return "worker_restarted";
    case release_cause::worker_gone:
        return "worker_gone";
    case release_cause::cancelled:
        return "cancelled";
    case release_cause::domain_out:
        return "domain_out";
    case release_cause::service_ended:
        return "service_ended";
    }
    return "";
}

void read_cause(json_reader& r, const char* field, release_cause& out)
{
    std::string name;
    r.name(field, name);
    const auto found = find_enumerator<release_cause>(name, name_of);
    if (!found) {
        r.fail(out_of_range_error(std::string{"field '"} + field + "' is not a release cause"));
        return;
    }
    out = *found;
}

std::string encode_records(const std::vector<ledger_record>& records)
{
    json body = json::array();
    for (const auto& record : records) {
        body.push_back(std::visit([](const auto& r) { return to_json(r); }, record));
    }
    return dump_json(body);
}

absl::StatusOr<std::vector<ledger_record>> decode_records(const std::string& text)
{
    const auto body = parse_json(text, "log row");
    if (!body.ok()) {
        return body.status();
    }
    if (!body->is_array()) {
        return malformed_error("log row: must be an array of records");
    }
    std::vector<ledger_record> records;
    for (const auto& item : *body) {
        auto record = read_record(item);
        if (!record.ok()) {
            return record.status();
        }
        records.push_back(*std::move(record));
    }
    return records;
}

} // namespace cuminmoor
