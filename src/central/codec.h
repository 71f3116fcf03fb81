/// \file
/// Rows of the store and messages between entry VMs in cereal's portable binary form.
///
/// Only our own processes write them. A row that cannot be read is an error that names it.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "cuminmoor/central/state.h"

namespace cuminmoor::central {

/// Value of the row that each commit of a term rewrites.
struct head_row {
    term_number term;
    std::uint64_t commit{0};
};

/// A job as it is stored.
struct stored_job {
    graph_job spec;
    queue queue_settings;
    /// Wall-clock time of its submission, since the epoch.
    millis submitted_at;
};

/// What is stored of a job's progress.
struct stored_progress {
    job_state state{job_state::queued};
    /// Empty once the job is over.
    std::vector<occurrence_record> occurrences;
};

std::string encode_head(const head_row& row);
absl::StatusOr<head_row> decode_head(const std::string& text);
std::string encode_lease(const lease_row& row);
absl::StatusOr<lease_row> decode_lease(const std::string& text);
std::string encode_capacity(const vm_capacity& capacity);
absl::StatusOr<vm_capacity> decode_capacity(const std::string& text);
std::string encode_job(const stored_job& job);
absl::StatusOr<stored_job> decode_stored_job(const std::string& text);
std::string encode_runner(const runner_entry& runner);
absl::StatusOr<runner_entry> decode_runner(const std::string& text);
std::string encode_disturbance(const disturbance_model& model);
/// \return an error also when the pairs do not match the images.
absl::StatusOr<disturbance_model> decode_disturbance(const std::string& text);
std::string encode_progress(const job_record& job);
absl::StatusOr<stored_progress> decode_progress(const std::string& text);

} // namespace cuminmoor::central
