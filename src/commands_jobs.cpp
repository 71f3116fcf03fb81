/// \file
/// Commands that show, list and cancel jobs.
#include <algorithm>
#include <map>
#include <set>

#include "commands_internal.h"
#include "cuminmoor/config.h"
#include "cuminmoor/json_reader.h"
#include "job_registration.h"

namespace cuminmoor {

namespace {

using nlohmann::json;

constexpr std::size_t max_summaries_per_job = 64;

/// Stored rows of one job.
struct stored_job {
    std::optional<job_registration> registration;
    std::vector<job_summary> summaries;
};

/// \return a read of the registrations and summaries of `jobs`.
store_read make_job_read(const std::vector<job_id>& jobs)
{
    store_read read;
    for (const auto& job : jobs) {
        read.keys.push_back(registration_key(job));
        read.ranges.push_back({job_summary_prefix(job), "", max_summaries_per_job});
    }
    return read;
}

std::map<job_id, stored_job> group_rows_by_job(const std::vector<row>& rows)
{
    std::map<job_id, stored_job> jobs;
    const std::string registrations = registration_prefix("");
    for (const row& r : rows) {
        if (r.key.starts_with(registrations)) {
            if (const auto decoded = decode_registration(r.value); decoded.ok()) {
                jobs[decoded->submission.spec.id].registration = *decoded;
            }
        }
        else if (const auto decoded = decode_job_summary(r.value); decoded.ok()) {
            jobs[decoded->job].summaries.push_back(*decoded);
        }
    }
    return jobs;
}

/// \return the external name; empty if the phase is not shown to users.
const char* shown_name(task_phase phase)
{
    switch (phase) {
    case task_phase::waiting:
        return "waiting";
    case task_phase::assigned:
        return "running";
    case task_phase::finished:
        return "finished";
    case task_phase::failed:
        return "failed";
    case task_phase::cancelled:
        return "cancelled";
    case task_phase::moved:
        return "";
    }
    return "";
}

/// Task phases shown to users, with their external names.
std::vector<std::pair<task_phase, std::string>> shown_phases()
{
    std::vector<std::pair<task_phase, std::string>> shown;
    for (std::size_t i = 0; i < task_phase_count; ++i) {
        const auto phase = static_cast<task_phase>(i);
        const std::string name = shown_name(phase);
        if (!name.empty()) {
            shown.emplace_back(phase, name);
        }
    }
    return shown;
}

void write_totals(json& view, const task_totals& t)
{
    for (const auto& [phase, name] : shown_phases()) {
        view[name] = t.in(phase);
    }
}

void add_totals(task_totals& sum, const task_totals& t)
{
    for (const auto& [phase, name] : shown_phases()) {
        sum.in(phase) += t.in(phase);
    }
}

/// \return "submitted" until a scheduler has admitted the job, "running" until all tasks have
/// ended, then the final phase. Tasks that move between failure domains are in no part's counts;
/// the job is still running then.
const char* phase_name(const job_spec& spec, const task_totals& sum, bool is_admitted,
                       bool is_cancelled)
{
    const auto failed = sum.in(task_phase::failed);
    const auto cancelled = sum.in(task_phase::cancelled);
    const auto ended = sum.in(task_phase::finished) + failed + cancelled;
    if (ended < spec.tasks) {
        return is_admitted ? "running" : "submitted";
    }
    if (failed > 0) {
        return "failed";
    }
    return is_cancelled && cancelled > 0 ? "cancelled" : "finished";
}

/// JSON list of the job's parts, one per failure domain; adds their totals to `whole`.
json parts_view(const stored_job& job, job_summary& whole)
{
    json parts = json::array();
    for (const auto& s : job.summaries) {
        add_totals(whole.totals, s.totals);
        whole.cancelled = whole.cancelled || s.cancelled;
        whole.evictions += s.evictions;
        json part{{"failure_domain", s.failure_domain.value},
                  {"moved", s.totals.in(task_phase::moved)}};
        write_totals(part, s.totals);
        parts.push_back(std::move(part));
    }
    return parts;
}

json job_view(const stored_job& job)
{
    const auto& spec = job.registration->submission.spec;
    job_summary whole;
    json parts = parts_view(job, whole);
    const std::string phase =
        phase_name(spec, whole.totals, !job.summaries.empty(), whole.cancelled);
    json view{{"id", spec.id.value},
              {"team", spec.team.value},
              {"owner", spec.owner.value},
              {"kind", spec.kind == work_class::batch ? "batch" : "latency_critical"},
              {"phase", phase},
              {"done", phase != "submitted" && phase != "running"},
              {"tasks", spec.tasks},
              {"evictions", whole.evictions},
              {"deadline_ms", spec.deadline.count},
              {"submitted_at_s", job.registration->submission.submitted_at_s},
              {"failure_domains", std::move(parts)}};
    write_totals(view, whole.totals);
    return view;
}

json jobs_view(const std::map<job_id, stored_job>& jobs)
{
    json list = json::array();
    for (const auto& [id, job] : jobs) {
        if (job.registration) {
            list.push_back(job_view(job));
        }
    }
    return list;
}

/// \return the failure domains to send a cancellation to: those with a part of the job, or all
/// known ones if tasks may be moving between failure domains.
std::set<failure_domain_id> domains_to_cancel_in(const context& c, const stored_job& job)
{
    std::set<failure_domain_id> domains{job.registration->failure_domain};
    for (const auto& s : job.summaries) {
        domains.insert(s.failure_domain);
        if (s.totals.in(task_phase::moved) > 0) {
            return known_failure_domains(c.s.membership);
        }
    }
    return domains;
}

transaction make_cancellation(const context& c, const open_command& cmd,
                              const std::map<job_id, stored_job>& jobs)
{
    transaction body;
    for (const auto& [id, job] : jobs) {
        if (!job.registration) {
            continue;
        }
        for (const auto& fd : domains_to_cancel_in(c, job)) {
            body.writes.push_back(
                {inbox_cancel_key(fd, id), encode_inbox_cancel({id, cmd.written_by})});
        }
    }
    return body;
}

json ids_to_json(const std::vector<job_id>& jobs)
{
    json names = json::array();
    for (const auto& job : jobs) {
        names.push_back(job.value);
    }
    return names;
}

} // namespace

void resume_cancel(context& c, open_command& cmd)
{
    const auto& jobs = std::get<cancel_jobs>(cmd.arrived.body).jobs;
    send_read(c, cmd, make_job_read(jobs), command_stage::reading);
}

void on_cancel_read(context& c, open_command& cmd, const std::vector<row>& rows)
{
    const auto jobs = group_rows_by_job(rows);
    cmd.jobs.clear();
    for (const auto& [id, job] : jobs) {
        if (job.registration) {
            cmd.jobs.push_back(id);
        }
    }
    if (cmd.jobs.empty()) {
        answer_error(c, cmd, result_code::unknown_job, "none of the named jobs is known");
        return;
    }
    send_commit(c, cmd, make_cancellation(c, cmd, jobs));
}

void on_cancel_committed(context& c, open_command& cmd, const store_committed& done)
{
    if (done.outcome != store_outcome::ok) {
        retry_later(c, cmd);
        return;
    }
    std::vector<job_id> unknown;
    for (const auto& job : std::get<cancel_jobs>(cmd.arrived.body).jobs) {
        if (std::find(cmd.jobs.begin(), cmd.jobs.end(), job) == cmd.jobs.end()) {
            unknown.push_back(job);
        }
    }
    answer_ok(c, cmd, {{"cancelled", cmd.jobs.size()}, {"unknown", ids_to_json(unknown)}});
}

void resume_show_job(context& c, open_command& cmd)
{
    const auto& job = std::get<show_job>(cmd.arrived.body).job;
    send_read(c, cmd, make_job_read({job}), command_stage::reading);
}

void on_show_job_read(context& c, open_command& cmd, const std::vector<row>& rows)
{
    const auto& wanted = std::get<show_job>(cmd.arrived.body).job;
    const auto jobs = group_rows_by_job(rows);
    const auto found = jobs.find(wanted);
    if (found == jobs.end() || !found->second.registration) {
        answer_error(c, cmd, result_code::unknown_job, "job '" + wanted.value + "' is not known");
        return;
    }
    answer_ok(c, cmd, job_view(found->second));
}

void resume_list_jobs(context& c, open_command& cmd)
{
    const auto& body = std::get<list_jobs>(cmd.arrived.body);
    store_read read;
    // The smallest key after `after` is `after` followed by a zero byte.
    const std::string from =
        body.after.empty() ? "" : registration_prefix(body.after) + std::string(1, '\0');
    read.ranges.push_back({registration_prefix(body.prefix), from, body.limit});
    send_read(c, cmd, std::move(read), command_stage::reading);
}

void on_list_jobs_read(context& c, open_command& cmd, const std::vector<row>& rows)
{
    if (cmd.stage == command_stage::reading_back) {
        const auto& limit = std::get<list_jobs>(cmd.arrived.body).limit;
        const bool is_full = cmd.jobs.size() >= limit;
        answer_ok(c, cmd,
                  {{"jobs", jobs_view(group_rows_by_job(rows))},
                   {"next", is_full ? cmd.jobs.back().value : ""}});
        return;
    }
    cmd.jobs.clear();
    for (const auto& [id, job] : group_rows_by_job(rows)) {
        cmd.jobs.push_back(id);
    }
    if (cmd.jobs.empty()) {
        answer_ok(c, cmd, {{"jobs", json::array()}, {"next", ""}});
        return;
    }
    send_read(c, cmd, make_job_read(cmd.jobs), command_stage::reading_back);
}

} // namespace cuminmoor
