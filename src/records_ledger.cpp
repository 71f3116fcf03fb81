/// \file
/// JSON encoding of a complete ledger, stored as an object.
#include "cuminmoor/config.h"
#include "cuminmoor/json_units.h"
#include "cuminmoor/status.h"
#include "records_json.h"

namespace cuminmoor {

namespace {

using nlohmann::json;

json assignment_to_json(const assignment& a)
{
    return {{"worker", a.worker.value},
            {"incarnation", a.incarnation},
            {"attempt", a.attempt},
            {"size", resources_to_json(a.size)},
            {"start_before", a.start_before.ms},
            {"stopping", a.stopping},
            {"stop_cause", name_of(a.stop_cause)}};
}

json task_to_json(std::uint32_t index, const task_entry& t)
{
    json body{{"task", index},
              {"phase", static_cast<int>(t.phase)},
              {"attempts", t.attempts},
              {"failures", t.failures},
              {"evictions", t.evictions},
              {"checkpoint", t.checkpoint},
              {"failed_on", json::array()}};
    for (const auto& worker : t.failed_on) {
        body["failed_on"].push_back(worker.value);
    }
    if (t.current_assignment) {
        body["where"] = assignment_to_json(*t.current_assignment);
    }
    return body;
}

json entry_to_json(const job_entry& j)
{
    json spec = job_to_json(j.spec);
    spec.erase("tasks");
    json body{{"spec", spec},
              {"declared", j.spec.tasks},
              {"is_service", j.is_service},
              {"cancelled", j.cancelled},
              {"sequence", j.sequence},
              {"evictions", j.evictions},
              {"moved_to", json::array()},
              {"at", j.submitted_at_s},
              {"tasks", json::array()}};
    for (const auto& fd : j.moved_to) {
        body["moved_to"].push_back(fd.value);
    }
    for (const auto& [index, task] : j.tasks) {
        body["tasks"].push_back(task_to_json(index, task));
    }
    return body;
}

void read_assignment(json_reader& r, assignment& out)
{
    r.name("worker", out.worker.value);
    r.optional_text("incarnation", out.incarnation, max_text_bytes);
    r.number("attempt", out.attempt, u32_range);
    read_size(r, "size", out.size);
    r.number("start_before", out.start_before.ms, {INT64_MIN, INT64_MAX});
    r.optional_flag("stopping", out.stopping);
    read_cause(r, "stop_cause", out.stop_cause);
}

void read_task_entry(json_reader& r, task_entry& out)
{
    int phase = 0;
    r.number("phase", phase, {0, static_cast<int>(task_phase::moved)});
    out.phase = static_cast<task_phase>(phase);
    r.number("attempts", out.attempts, u32_range);
    r.number("failures", out.failures, u32_range);
    r.number("evictions", out.evictions, u32_range);
    r.optional_text("checkpoint", out.checkpoint, max_text_bytes);
    std::set<std::string> failed_on;
    read_names(r, "failed_on", failed_on);
    for (const auto& worker : failed_on) {
        out.failed_on.insert({worker});
    }
    if (const auto* const value = r.find("where")) {
        const auto current_assignment =
            read_all<assignment>(*value, "ledger assignment", read_assignment);
        r.fail(current_assignment.status());
        out.current_assignment =
            current_assignment.ok() ? std::optional{*current_assignment} : std::nullopt;
    }
    if (out.current_assignment.has_value() != (out.phase == task_phase::assigned)) {
        r.fail(malformed_error(
            "ledger task: 'where' must be set if and only if the task is assigned"));
    }
}

/// Adds a decoded task to its job, its totals and the ledger's indices.
void index_task(ledger& job_ledger, job_entry& job, std::uint32_t index, task_entry task)
{
    const task_id id{job.spec.id, index};
    ++job.totals.in(task.phase);
    if (task.phase == task_phase::waiting) {
        job_ledger.waiting.insert({job.spec.kind, job.sequence, id});
    }
    if (task.current_assignment) {
        job_ledger.committed[task.current_assignment->worker] += task.current_assignment->size;
        job_ledger.tasks_by_worker[task.current_assignment->worker].insert(id);
    }
    job.tasks.insert_or_assign(index, std::move(task));
}

void read_tasks(json_reader& r, ledger& job_ledger, job_entry& job)
{
    for (const auto& item : read_array(r, "tasks")) {
        json_reader inner{item, "ledger task"};
        std::uint32_t index = 0;
        task_entry task;
        inner.number("task", index, u32_range);
        read_task_entry(inner, task);
        r.fail(inner.finish_lenient());
        index_task(job_ledger, job, index, std::move(task));
    }
}

absl::Status read_job_entry(ledger& job_ledger, const json& body)
{
    json_reader r{body, "ledger job"};
    job_spec spec;
    read_spec(r, spec);
    r.number("declared", spec.tasks, {0, config::max_tasks_per_job});
    auto& job = job_ledger.jobs[spec.id];
    job.spec = std::move(spec);
    r.optional_flag("cancelled", job.cancelled);
    r.optional_flag("is_service", job.is_service);
    r.number("sequence", job.sequence, {});
    r.number("evictions", job.evictions, u32_range);
    r.number("at", job.submitted_at_s, {});
    std::set<std::string> moved_to;
    read_names(r, "moved_to", moved_to);
    for (const auto& fd : moved_to) {
        job.moved_to.insert({fd});
    }
    read_tasks(r, job_ledger, job);
    return r.finish_lenient();
}

} // namespace

std::string encode_ledger(const ledger& job_ledger)
{
    json body{{"applied", job_ledger.applied.value},
              {"next_sequence", job_ledger.next_sequence},
              {"jobs", json::array()}};
    for (const auto& [id, job] : job_ledger.jobs) {
        body["jobs"].push_back(entry_to_json(job));
    }
    return dump_json(body);
}

absl::StatusOr<ledger> decode_ledger(const std::string& text)
{
    const auto body = parse_json(text, "ledger");
    if (!body.ok()) {
        return body.status();
    }
    json_reader r{*body, "ledger"};
    ledger job_ledger;
    r.number("applied", job_ledger.applied.value, {});
    r.number("next_sequence", job_ledger.next_sequence, {});
    for (const auto& job : read_array(r, "jobs")) {
        r.fail(read_job_entry(job_ledger, job));
    }
    if (auto fault = r.finish_lenient(); !fault.ok()) {
        return fault;
    }
    return job_ledger;
}

} // namespace cuminmoor
