/// \file
/// Order of the waiting steps. Answers load that stays a little above the room that there is:
/// served by deadline alone, each job waits until it is late, and so does the next one. What has
/// begun is finished first, then jobs begin that can still meet their objective; the others share
/// what is left.
///
/// Nothing is stored: a new holder of the lease finds the same order from the jobs and their runs.
#include "central/placement/urgency.h"

#include <algorithm>
#include <utility>

#include "central/jobs/jobs.h"
#include "central/placement/run_times.h"

namespace cuminmoor::central {

namespace {

bool has_begun(const task_ref& ref)
{
    return !ref.step->after.empty() || ref.progress->ready * 2 <= ref.step->tasks;
}

/// \return true if the job's deadline says when the step has to end: services run until they are
/// cancelled, and a repetition counts from its own due time.
bool has_deadline(const task_ref& ref)
{
    return !ref.step->is_service && ref.job->spec.repeats.count == 0;
}

attainable attainable_for_step(const context& c, const task_ref& ref, std::uint32_t step)
{
    if (!has_deadline(ref)) {
        return attainable::objective;
    }
    job_record& job = *ref.job;
    if (job.times_to_end.empty()) {
        job.times_to_end = times_to_end(c.s, job);
    }
    return attainable_for(job, c.now, job.times_to_end[step]);
}

} // namespace

std::vector<millis> times_to_end(const central_state& s, job_record& job)
{
    const auto& steps = job.spec.steps;
    std::vector<millis> run_times(steps.size());
    for (std::size_t i{0}; i < steps.size(); ++i) {
        task_ref ref{.job = &job, .step = &steps[i]};
        ref.image = i < job.images.size() ? job.images[i] : 0;
        run_times[i] = expected_run_time(s, ref);
    }
    return times_to_end(job.spec, run_times);
}

attainable attainable_for(const job_record& job, instant now, millis time_to_end)
{
    const millis with_margin{time_to_end.count * (100 + config::attainable_margin_percent) / 100};
    const millis objective = job.deadline - job.submitted_at;
    const millis age_at_end = now + with_margin - job.submitted_at;
    if (age_at_end <= objective) {
        return attainable::objective;
    }
    const bool is_of_use = age_at_end <= objective * config::late_bound_objectives;
    return is_of_use ? attainable::late_bound : attainable::neither;
}

urgency urgency_of(const context& c, const ready_key& key)
{
    const task_ref ref = find_task(c.s, {key.job, key.occurrence, key.step, 0});
    if (!ref) {
        return {.priority = key.priority};
    }
    return {key.priority, !has_begun(ref), attainable_for_step(c, ref, key.step)};
}

std::vector<ready_key> steps_by_urgency(const context& c)
{
    const auto& ready = c.s.scheduler.ready;
    if (!c.s.self.options.attainable_first) {
        return {ready.begin(), ready.end()};
    }
    std::vector<std::pair<urgency, const ready_key*>> ranked;
    ranked.reserve(ready.size());
    for (const ready_key& key : ready) {
        ranked.emplace_back(urgency_of(c, key), &key);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<ready_key> order;
    order.reserve(ranked.size());
    for (const auto& [ignored, key] : ranked) {
        order.push_back(*key);
    }
    return order;
}

} // namespace cuminmoor::central
