/// \file
/// Scheduler state for tests of disturbance, pacing and relocation, without the virtual world.
#pragma once

#include <string>

#include "central/parts.h"

namespace cuminmoor::central::test {

/// A scheduler state to which a test adds runners, jobs and runs.
struct disturbance_fixture {
    central_state s;
    effects out;
    instant now{10'000};

    context make_context() { return {s, out, now, {0}}; }

    job_record& add_job(const std::string& id, const std::string& image, bool is_service)
    {
        graph_job spec;
        spec.id.value = id;
        graph_step step;
        step.image = image;
        step.task_size = {6'000, 1'000, 0};
        step.is_service = is_service;
        step.uses_leftover = !is_service;
        step.latency_target = {is_service ? 100 : 0};
        step.run_time = {2'000};
        step.saves_checkpoints = true;
        spec.steps.push_back(step);
        auto& job = s.scheduler.jobs.emplace(job_id{id}, make_job(spec, {}, now)).first->second;
        job.stored = stored_part::job;
        assign_image_numbers(make_context(), job);
        init_occurrence(job, 0);
        return job;
    }

    runner_record& add_runner(const std::string& id)
    {
        runner_record& r = s.scheduler.runners[{id}];
        r.entry.id.value = id;
        r.entry.capacity = {64'000, 256'000, 0};
        r.is_responsive = true;
        r.stored = true;
        r.clock = clock_sample{{1}, now};
        r.latency_rise_budget = config::initial_latency_rise_budget;
        return r;
    }

    /// Processes a report of the runner with the loads of its runs.
    void report(runner_record& r)
    {
        const context c = make_context();
        learn_disturbance(c, r);
        update_expected_disturbance(c, r);
        observe_latency(c, r, now);
        pace_runner(c, r);
    }

    void add_run(runner_record& r, const std::string& job, std::int64_t load)
    {
        const graph_task_id id{{job}, 0, 0, 0};
        const task_ref place = find_task(s, id);
        run started;
        started.runner = r.entry.id;
        started.number = {1};
        started.phase = run_phase::running;
        started.ordered_at = now;
        started.load = load;
        place.task->status = task_status::active;
        attach_run(make_context(), place, r, id, started);
    }
};

} // namespace cuminmoor::central::test
