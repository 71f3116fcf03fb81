/// \file
/// Keys and JSON encoding of inbox rows and job summaries.
#include "cuminmoor/inbox.h"

#include "absl/strings/str_cat.h"
#include "cuminmoor/json_units.h"
#include "records_json.h"

namespace cuminmoor {

namespace {

using nlohmann::json;

std::string inbox_prefix(const failure_domain_id& fd, const char* kind)
{
    return absl::StrCat("fd/", fd.value, "/inbox/", kind, "/");
}

void read_totals(json_reader& r, task_totals& out)
{
    const auto* const value = r.required("totals");
    if (value == nullptr) {
        return;
    }
    json_reader totals{*value, "job summary: field totals"};
    for (std::size_t i = 0; i < task_phase_count; ++i) {
        totals.number(name_of(static_cast<task_phase>(i)), out.by_phase.at(i), u32_range);
    }
    r.fail(totals.finish_lenient());
}

} // namespace

std::string inbox_job_prefix(const failure_domain_id& fd)
{
    return inbox_prefix(fd, "job");
}

std::string inbox_cancel_prefix(const failure_domain_id& fd)
{
    return inbox_prefix(fd, "cancel");
}

std::string inbox_move_prefix(const failure_domain_id& fd)
{
    return inbox_prefix(fd, "move");
}

std::string inbox_job_key(const failure_domain_id& fd, const job_id& job)
{
    return inbox_job_prefix(fd) + job.value;
}

std::string inbox_cancel_key(const failure_domain_id& fd, const job_id& job)
{
    return inbox_cancel_prefix(fd) + job.value;
}

std::string inbox_move_key(const failure_domain_id& fd, const task_id& task, std::uint32_t attempts)
{
    return absl::StrCat(inbox_move_prefix(fd), to_string(task), "/", attempts);
}

std::string job_summary_prefix(const job_id& job)
{
    return "job/" + job.value + "/";
}

std::string job_summary_key(const job_id& job, const failure_domain_id& fd)
{
    return job_summary_prefix(job) + fd.value;
}

std::string encode_inbox_job(const inbox_job& submission)
{
    const json body{{"spec", job_to_json(submission.spec)},
                    {"at", submission.submitted_at_s},
                    {"nonce", submission.written_by.value}};
    return dump_json(body);
}

absl::StatusOr<inbox_job> decode_inbox_job(const std::string& text)
{
    return read_text<inbox_job>(text, "submission", [](json_reader& r, inbox_job& out) {
        read_spec(r, out.spec);
        r.number("at", out.submitted_at_s, {});
        r.name("nonce", out.written_by.value);
    });
}

std::string encode_inbox_cancel(const inbox_cancel& cancellation)
{
    const json body{{"job", cancellation.job.value}, {"nonce", cancellation.written_by.value}};
    return dump_json(body);
}

absl::StatusOr<inbox_cancel> decode_inbox_cancel(const std::string& text)
{
    return read_text<inbox_cancel>(text, "cancellation", [](json_reader& r, inbox_cancel& out) {
        r.name("job", out.job.value);
        r.name("nonce", out.written_by.value);
    });
}

json moved_in_to_json(const task_moved_in& move)
{
    return {{"spec", job_to_json(move.spec)},
            {"at", move.submitted_at_s},
            {"task", move.task.index},
            {"attempts", move.attempts},
            {"checkpoint", move.checkpoint}};
}

absl::StatusOr<task_moved_in> moved_in_from_json(const json& body)
{
    return read_all<task_moved_in>(body, "moved task", [](json_reader& r, task_moved_in& out) {
        read_spec(r, out.spec);
        r.number("at", out.submitted_at_s, {});
        out.task.job = out.spec.id;
        r.number("task", out.task.index, u32_range);
        r.number("attempts", out.attempts, u32_range);
        r.optional_text("checkpoint", out.checkpoint, max_text_bytes);
    });
}

std::string encode_inbox_move(const task_moved_in& move)
{
    return dump_json(moved_in_to_json(move));
}

absl::StatusOr<task_moved_in> decode_inbox_move(const std::string& text)
{
    const auto body = parse_json(text, "moved task");
    return body.ok() ? moved_in_from_json(*body) : body.status();
}

job_summary summarize(const job_entry& job, const failure_domain_id& fd)
{
    job_summary s;
    s.job = job.spec.id;
    s.failure_domain = fd;
    s.team = job.spec.team;
    s.owner = job.spec.owner;
    s.kind = job.spec.kind;
    s.declared_tasks = job.spec.tasks;
    s.task_size = job.spec.task_size;
    s.deadline = job.spec.deadline;
    s.submitted_at_s = job.submitted_at_s;
    s.cancelled = job.cancelled;
    s.totals = job.totals;
    s.evictions = job.evictions;
    return s;
}

std::string encode_job_summary(const job_summary& summary)
{
    json totals = json::object();
    for (std::size_t i = 0; i < task_phase_count; ++i) {
        totals[name_of(static_cast<task_phase>(i))] = summary.totals.by_phase.at(i);
    }
    const json body{{"job", summary.job.value},
                    {"failure_domain", summary.failure_domain.value},
                    {"team", summary.team.value},
                    {"owner", summary.owner.value},
                    {"kind", summary.kind == work_class::batch ? "batch" : "latency_critical"},
                    {"declared_tasks", summary.declared_tasks},
                    {"task_size", resources_to_json(summary.task_size)},
                    {"deadline_ms", summary.deadline.count},
                    {"submitted_at_s", summary.submitted_at_s},
                    {"cancelled", summary.cancelled},
                    {"totals", totals},
                    {"evictions", summary.evictions}};
    return dump_json(body);
}

absl::StatusOr<job_summary> decode_job_summary(const std::string& text)
{
    return read_text<job_summary>(text, "job summary", [](json_reader& r, job_summary& out) {
        r.name("job", out.job.value);
        r.name("failure_domain", out.failure_domain.value);
        r.name("team", out.team.value);
        r.optional_name("owner", out.owner.value);
        read_work_class(r, out.kind);
        r.number("declared_tasks", out.declared_tasks, u32_range);
        read_size(r, "task_size", out.task_size);
        r.number("deadline_ms", out.deadline.count, {});
        r.number("submitted_at_s", out.submitted_at_s, {});
        r.optional_flag("cancelled", out.cancelled);
        r.number("evictions", out.evictions, u32_range);
        read_totals(r, out.totals);
    });
}

} // namespace cuminmoor
