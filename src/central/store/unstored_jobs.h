/// \file
/// New jobs that the store does not have yet: when they are refused.
#pragma once

#include "central/context.h"

namespace cuminmoor::central {

/// \return true if the store fails, or leaves a commit without an outcome for too long: a new job
/// would wait for nothing.
bool is_store_failing(const context& c);
/// Refuses the submissions of a new job that is certainly not stored.
/// \return true if the job is to be dropped. One that was cancelled is not: the cancellation waits
/// for the store.
bool refuse_unstored_job(const context& c, job_record& job);
/// Refuses new jobs that are certainly not stored: they are in no open commit either.
void reject_unstored_jobs(const context& c);
/// While the store leaves a commit without an outcome for too long: refuses the new jobs that are
/// in no commit.
void check_unstored_jobs(const context& c);

} // namespace cuminmoor::central
