/// \file
/// Audit command: stored claims of a caller and job summaries of a team.
#include "commands_internal.h"
#include "cuminmoor/config.h"
#include "cuminmoor/inbox.h"
#include "cuminmoor/json_reader.h"

namespace cuminmoor {

namespace {

using nlohmann::json;

constexpr std::size_t max_audit_rows = 1'000;
constexpr const char* summary_prefix = "job/";

std::string claims_prefix(const caller_id& caller)
{
    return "claim/" + caller.value + "/";
}

/// JSON view of a claim row without the stored answer body.
json claim_view(const row& r, const std::string& prefix)
{
    json view{{"request", r.key.substr(prefix.size())}};
    const auto value = parse_json(r.value, "claim row");
    if (!value.ok() || !value->is_object()) {
        view["state"] = "unreadable";
        return view;
    }
    for (const auto& item : value->items()) {
        if (item.key() != "body") {
            view[item.key()] = item.value();
        }
    }
    return view;
}

json summary_view(const job_summary& s)
{
    return {{"job", s.job.value},
            {"failure_domain", s.failure_domain.value},
            {"team", s.team.value},
            {"owner", s.owner.value},
            {"finished", s.totals.in(task_phase::finished)},
            {"failed", s.totals.in(task_phase::failed)},
            {"cancelled", s.totals.in(task_phase::cancelled)},
            {"evictions", s.evictions},
            {"submitted_at_s", s.submitted_at_s}};
}

} // namespace

void resume_audit(context& c, open_command& cmd)
{
    const auto& body = std::get<show_audit>(cmd.arrived.body);
    store_read read;
    if (!body.caller.empty()) {
        read.ranges.push_back({claims_prefix(body.caller), "", max_audit_rows});
    }
    if (!body.team.empty()) {
        read.ranges.push_back({summary_prefix, "", max_audit_rows});
    }
    if (read.ranges.empty()) {
        answer_error(c, cmd, result_code::missing_field, "audit: name a caller, a team or both");
        return;
    }
    send_read(c, cmd, std::move(read), command_stage::reading);
}

void on_audit_read(context& c, open_command& cmd, const std::vector<row>& rows)
{
    const auto& body = std::get<show_audit>(cmd.arrived.body);
    const std::string prefix = claims_prefix(body.caller);
    json requests = json::array();
    json jobs = json::array();
    for (const row& r : rows) {
        if (!body.caller.empty() && r.key.starts_with(prefix)) {
            requests.push_back(claim_view(r, prefix));
            continue;
        }
        const auto summary = decode_job_summary(r.value);
        if (summary.ok() && summary->team == body.team) {
            jobs.push_back(summary_view(*summary));
        }
    }
    // A full page means that more rows may exist, so the result is not reported as complete.
    answer_ok(c, cmd,
              {{"requests", std::move(requests)},
               {"jobs", std::move(jobs)},
               {"complete", rows.size() < max_audit_rows}});
}

} // namespace cuminmoor
