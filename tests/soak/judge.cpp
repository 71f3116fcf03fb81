/// \file
/// Implementation of the soak's judge.
#include "judge.h"

#include <algorithm>

#include "world.h"

namespace soak {

namespace {

using review::run_event;

/// A lasting task must have a run again this long after its last one, at the latest.
constexpr std::int64_t restart_ms{6'000};
/// It is lost when it then has none for this long.
constexpr std::int64_t without_run_ms{3'000};
/// No unplanned fault for this long.
constexpr std::int64_t calm_ms{7'000};
/// A job is known everywhere this long after its acceptance.
constexpr std::int64_t visible_ms{3'000};
/// A VM that had no trouble for this long is in touch.
constexpr std::int64_t contact_ms{3'000};

struct gap {
    std::string task;
    time_span when;
    /// End of the run before.
    std::string after;
};

bool is_calm_at(std::int64_t now, const std::vector<time_span>& faults)
{
    return std::none_of(faults.begin(), faults.end(), [now](const time_span& each) {
        return each.from_ms < now && each.to_ms > now - calm_ms;
    });
}

/// \return when the task counted as lost for the first time, if it did.
std::optional<std::int64_t> lost_at(const gap& g, const std::vector<time_span>& faults)
{
    const std::int64_t due = g.when.from_ms + restart_ms + without_run_ms;
    std::vector<std::int64_t> candidates{due};
    for (const time_span& each : faults) {
        candidates.push_back(std::max(due, each.to_ms + calm_ms));
    }
    std::sort(candidates.begin(), candidates.end());
    for (const std::int64_t each : candidates) {
        if (each <= g.when.to_ms && is_calm_at(each, faults)) {
            return each;
        }
    }
    return std::nullopt;
}

/// The time without a run of one lasting task.
struct task_watch {
    std::size_t running{0};
    std::int64_t without_since{0};
    std::string after{"acceptance"};
};

std::vector<gap> gaps_of(const observations& seen)
{
    std::map<std::string, task_watch> watches;
    for (const auto& [task, since] : seen.lasting_tasks) {
        watches[task].without_since = since;
    }
    std::vector<gap> gaps;
    for (const run_event& e : seen.events) {
        const auto found = watches.find(e.task);
        if (found == watches.end()) {
            continue;
        }
        task_watch& watch = found->second;
        if (e.what == run_event::kind::started && watch.running++ == 0) {
            gaps.push_back({e.task, {watch.without_since, e.at_ms}, watch.after});
        }
        else if (e.what == run_event::kind::ended && --watch.running == 0) {
            watch.without_since = e.at_ms;
            watch.after = "run " + std::to_string(e.run) + " on " + e.runner + ", " + e.how;
        }
    }
    for (const auto& [task, watch] : watches) {
        if (watch.running == 0) {
            gaps.push_back({task, {watch.without_since, seen.end_ms}, watch.after});
        }
    }
    return gaps;
}

void judge_gaps(const observations& seen, judgement& result)
{
    for (const gap& g : gaps_of(seen)) {
        const std::int64_t length = g.when.to_ms - g.when.from_ms;
        result.longest_gap_ms = std::max(result.longest_gap_ms, length);
        if (const auto at = lost_at(g, seen.faults)) {
            result.findings.push_back("LOST: " + g.task + " has no run from " +
                                      std::to_string(g.when.from_ms) + " to " +
                                      std::to_string(g.when.to_ms) + ", lost at " +
                                      std::to_string(*at) + ", after " + g.after);
        }
    }
}

bool is_in_touch(const state_answer& answer, const std::vector<vm_trouble>& troubles)
{
    return std::none_of(troubles.begin(), troubles.end(), [&](const vm_trouble& each) {
        const bool is_hit = !each.vm || *each.vm == answer.vm;
        return is_hit && each.when.from_ms <= answer.asked_ms &&
               each.when.to_ms > answer.asked_ms - contact_ms;
    });
}

std::set<std::string> jobs_with_failed_runs(const std::vector<run_event>& events)
{
    std::set<std::string> jobs;
    for (const run_event& e : events) {
        if (e.what == run_event::kind::ended && e.how == "failed") {
            jobs.insert(e.task.substr(0, e.task.find('.')));
        }
    }
    return jobs;
}

void judge_answers(const observations& seen, judgement& result)
{
    const std::set<std::string> failed = jobs_with_failed_runs(seen.events);
    for (const state_answer& each : seen.answers) {
        const auto accepted = seen.accepted.find(each.job);
        if (accepted == seen.accepted.end()) {
            continue;
        }
        const bool is_cancelled = seen.cancelled.contains(each.job);
        const bool is_unknown = each.state == "410" && !is_cancelled &&
                                each.asked_ms > accepted->second + visible_ms &&
                                is_in_touch(each, seen.troubles);
        const bool is_wrong = (each.state == "failed" && !failed.contains(each.job)) ||
                              (each.state == "cancelled" && !is_cancelled);
        if (is_unknown || is_wrong) {
            result.findings.push_back("SHOWN: accepted job " + each.job + " as " + each.state +
                                      " by VM " + std::to_string(each.vm) + " at " +
                                      std::to_string(each.asked_ms));
        }
    }
}

} // namespace

judgement judge(const observations& seen)
{
    judgement result;
    judge_gaps(seen, result);
    for (const std::string& each : review::repeated_runs(seen.events)) {
        result.findings.push_back("TWICE: " + each);
    }
    judge_answers(seen, result);
    for (const std::string& each : seen.own_ends) {
        result.findings.push_back("ENDED: " + each);
    }
    return result;
}

} // namespace soak
