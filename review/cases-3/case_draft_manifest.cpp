/// \file
/// The operator keeps a draft of a manifest in a part of its own. The manifest in force is the row
/// with an empty part.
#include "cases.h"

namespace review {

namespace {

constexpr int http_ok{200};
constexpr int draft_version{8};

json job_of(bool lasts)
{
    json step = {{"count", 2}, {"cpu", 500}, {"mem_mb", 64}, {"estimated_ms", 300}};
    if (lasts) {
        step["long_running"] = true;
    }
    return {{"task_spec", lasts ? "" : "ms=300"}, {"steps", json::array({step})}};
}

} // namespace

verdict play_draft_manifest(const case_run& run)
{
    deployment d{run.record, run.log_folder, {{.id = "i-1"}, {.id = "i-2"}}};
    if (!d.start(3)) {
        return verdict::not_run;
    }
    for (const bool lasts : {false, true}) {
        const std::string id = job_id(lasts ? 2 : 1);
        if (d.call("POST", quotes, id, job_of(lasts).dump()).status != http_ok) {
            return verdict::not_run;
        }
    }
    constexpr std::int64_t settle_ms{3'000};
    pause_ms(settle_ms);
    if (run.trouble) {
        const json draft = deployment::manifest(draft_version, false);
        run.record.add("the operator writes table op, part draft, key config: " + draft.dump());
        d.platform().put("op", "config", draft, "draft");
    }
    pause_ms(settle_ms);
    d.call("POST", quotes, job_id(3), job_of(false).dump());
    // `finish_s` after the end of the traffic.
    constexpr std::int64_t finish_ms{14'000};
    pause_ms(finish_ms);
    bool are_known{true};
    constexpr int attempts{6};
    for (const std::uint64_t number : {1, 2}) {
        const http_response answer = d.call("GET", quotes, job_id(number), "", attempts);
        run.record.add("accepted job " + job_id(number) +
                       " is asked for: " + std::to_string(answer.status) + " " + answer.body);
        are_known = are_known && answer.status == http_ok;
    }
    return are_known ? verdict::held : verdict::broken;
}

} // namespace review
