/// \file
/// Encoding of the store's rows in cereal's portable binary format.
///
/// Only processes of this project write them. Decoding returns an error that names the kind of row
/// when it cannot be read.
#pragma once

#include <string>

#include "absl/status/statusor.h"
#include "cuminmoor/central/state.h"

namespace cuminmoor::central {

/// Value of the head row, which every commit rewrites.
struct head_row {
    term_number term;
    std::uint64_t commit{0};
};

/// Row of the jobs table.
struct stored_job {
    graph_job spec;
    queue queue_settings;
    /// Wall-clock time of the submission, since the epoch.
    millis submitted_at;
    /// Written only if it has a name.
    organisation owner{};
};

/// Crash counts of one task.
struct stored_crashes {
    std::uint32_t occurrence{0};
    std::uint32_t step{0};
    std::uint32_t index{0};
    crash_counts counts;
};

/// Position of a task in its job.
struct task_position {
    std::uint32_t occurrence{0};
    std::uint32_t step{0};
    std::uint32_t index{0};

    bool operator==(const task_position&) const = default;
};

/// The tasks of a job that can run on one incarnation of a runner: of services, and those with
/// `crash_counts::has_open_run`.
struct stored_place {
    runner_id runner;
    std::vector<task_position> tasks;
};

/// Row of the progress table. The tasks of finished steps and the steps of finished occurrences are
/// left out if it would be longer than a row otherwise.
struct stored_progress {
    job_state state{job_state::queued};
    /// Empty once the job has ended.
    std::vector<occurrence_record> occurrences;
    /// `task_record::crashes` where crashes are counted.
    std::vector<stored_crashes> crashes;
    /// `task_record::placed_on` of the tasks that have one.
    std::vector<stored_place> places;
    /// The tasks of `places` that have `task_record::has_survived_there`.
    std::vector<task_position> survivors;
    /// `task_record::placed_incarnation` of each element of `places`.
    std::vector<std::int64_t> incarnations;
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
/// \return an error also when the matrix of pairs does not match the number of images.
absl::StatusOr<disturbance_model> decode_disturbance(const std::string& text);
std::string encode_progress(const job_record& job);
absl::StatusOr<stored_progress> decode_progress(const std::string& text);
/// \return how many occurrences of the job may be unfinished at a time so that the store can hold
/// its progress; 0 if it cannot hold the job at all.
std::uint32_t max_open_occurrences(const stored_job& job);

} // namespace cuminmoor::central
