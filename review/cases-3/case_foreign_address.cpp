/// \file
/// Another writer writes the entry of a runner into the store, with a field of another type and the
/// address of another runner. Such an entry names no runner to use; the runner works on.
#include "cases.h"

#include <map>
#include <set>

namespace review {

namespace {

constexpr int http_ok{200};
constexpr int task_count{6};

json job_of()
{
    return {
        {"task_spec", "ms=12000"},
        {"steps",
         json::array(
             {{{"count", task_count}, {"cpu", 4'000}, {"mem_mb", 64}, {"estimated_ms", 12'000}}})}};
}

/// \return the tasks that run more than once now.
std::set<std::string> running_twice(deployment& d)
{
    std::map<std::string, int> runs;
    std::set<std::string> twice;
    for (const task_run& each : d.running()) {
        if (++runs[each.task] > 1) {
            twice.insert(each.task);
        }
    }
    return twice;
}

} // namespace

verdict play_foreign_address(const case_run& run)
{
    deployment d{run.record, run.log_folder, {{.id = "i-1"}, {.id = "i-2"}}};
    if (!d.start(3)) {
        return verdict::not_run;
    }
    if (d.call("POST", quotes, job_id(1), job_of().dump()).status != http_ok) {
        return verdict::not_run;
    }
    constexpr std::int64_t start_limit_ms{5'000};
    if (!wait_for(run.record, start_limit_ms, [&] { return d.running().size() == task_count; })) {
        return verdict::not_run;
    }
    constexpr std::int64_t settle_ms{1'000};
    pause_ms(settle_ms);
    // The runner that has more of the tasks.
    const std::size_t meant = d.at(0).running().size() >= d.at(1).running().size() ? 0 : 1;
    std::set<std::string> twice;
    constexpr int writes{5};
    constexpr std::int64_t write_period_ms{1'000};
    for (int i{0}; i < writes && twice.empty(); ++i) {
        if (run.trouble) {
            json entry = d.at(meant).report();
            entry["slots"] = "eight";
            entry["address"] = d.at(1 - meant).report().at("address");
            run.record.add("another writer writes servers/" + d.at(meant).id() + ": " +
                           entry.dump());
            d.platform().put("servers", d.at(meant).id(), entry);
        }
        wait_for(run.record, write_period_ms, [&] {
            twice = running_twice(d);
            return !twice.empty();
        });
    }
    for (const std::string& task : twice) {
        run.record.add("runs on both runners at the same time: " + task);
    }
    return twice.empty() ? verdict::held : verdict::broken;
}

} // namespace review
