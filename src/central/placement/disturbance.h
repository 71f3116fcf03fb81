/// \file
/// Disturbance of services by leftover tasks.
#pragma once

#include "central/context.h"
#include "central/jobs/jobs.h"

namespace cuminmoor::central {

/// \return the tail latency rise that a task is expected to cause on a runner, in percent of the
/// target of the most affected service there.
double expected_latency_rise(const central_state& s, const runner_record& r, const task_ref& ref);
/// \return true if a leftover task is expected to raise the tail latency of a service there by at
/// least `antagonist_percent_per_core`.
bool is_antagonist(const central_state& s, const runner_record& r, const task_ref& ref);
/// Assigns numbers to the images of a job's steps and grows the disturbance model for new images.
void assign_image_numbers(const context& c, job_record& job);
/// Updates the disturbance model from the latest report of a runner.
void learn_disturbance(const context& c, const runner_record& r);
/// Recomputes the expected latency rises on a runner from its current runs.
void update_expected_disturbance(const context& c, runner_record& r);

} // namespace cuminmoor::central
