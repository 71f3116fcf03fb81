/// \file
/// Serialization with cereal. The order and types of the fields are the format.
#include "central/store/codec.h"

#include <algorithm>
#include <exception>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "absl/strings/str_cat.h"
#include "central/store/bounded_load.h"
#include "cuminmoor/central/peer_codec.h"

// cereal finds these functions by argument-dependent lookup.
namespace cuminmoor {

template <typename Archive, typename Tag>
void serialize(Archive& archive, string_id<Tag>& id)
{
    archive(id.value);
}

template <typename Archive, typename Tag>
void serialize(Archive& archive, number_id<Tag>& id)
{
    archive(id.value);
}

template <typename Archive>
void serialize(Archive& archive, millis& m)
{
    archive(m.count);
}

template <typename Archive>
void serialize(Archive& archive, resources& r)
{
    archive(r.milli_cores, r.memory_mib, r.accelerators);
}

} // namespace cuminmoor

namespace cuminmoor::central {

template <typename Archive>
void serialize(Archive& archive, graph_step& s)
{
    archive(s.tasks, s.task_size, s.run_time, s.after, s.saves_checkpoints, s.is_gang, s.same_rack,
            s.allows_copies, s.is_service, s.uses_leftover, s.max_per_runner, s.disruption_budget,
            s.required_label, s.data_rack, s.image, s.latency_target);
}

template <typename Archive>
void serialize(Archive& archive, schedule& s)
{
    archive(s.count, s.first_at, s.interval);
}

template <typename Archive>
void serialize(Archive& archive, graph_job& j)
{
    archive(j.id, j.queue, j.payload, j.steps, j.repeats);
}

template <typename Archive>
void serialize(Archive& archive, queue& q)
{
    archive(q.name, q.host, q.path_prefix, q.service, q.priority, q.max_attempts, q.stretch,
            q.slack);
}

template <typename Archive>
void serialize(Archive& archive, job_call& c)
{
    archive(c.kind, c.queue, c.manifest_version, c.job, c.submitted, c.forwarded_by);
}

template <typename Archive>
void serialize(Archive& archive, organisation& o)
{
    archive(o.name, o.weight, o.quota);
}

template <typename Archive>
void serialize(Archive& archive, call_answer& a)
{
    archive(a.result, a.state, a.pending, a.retry_after);
}

template <typename Archive>
void serialize(Archive& archive, vm_capacity& c)
{
    archive(c.milli_cores, c.link_kbit_per_s);
}

template <typename Archive>
void serialize(Archive& archive, head_row& r)
{
    archive(r.term, r.commit);
}

template <typename Archive>
void serialize(Archive& archive, graph_task_id& id)
{
    archive(id.job, id.occurrence, id.step, id.index);
}

template <typename Archive>
void serialize(Archive& archive, unreported_runner& r)
{
    archive(r.runner, r.leases_end_within, r.suspects, r.is_attributed);
}

template <typename Archive>
void serialize(Archive& archive, handover& h)
{
    archive(h.runners, h.earlier_leases_end_within, h.may_grant, h.places_known);
}

/// Processes of an earlier version expect a handover in another format, which is never set.
template <typename Archive>
void serialize_up_to_number(Archive& archive, lease_row& r)
{
    bool lacks_earlier_handover{true};
    archive(r.holder, r.address, r.incarnation, r.term, r.released, r.recovered,
            lacks_earlier_handover);
    if (!lacks_earlier_handover) {
        throw cereal::Exception{"the handover is in an earlier format"};
    }
    archive(r.handed_over, r.number);
}

template <typename Archive>
void serialize(Archive& archive, lease_row& r)
{
    serialize_up_to_number(archive, r);
    archive(r.foreign_leases_end_within);
}

/// A lease row as it was written before `foreign_leases_end_within` was added.
struct lease_row_without_foreign_leases {
    lease_row row;
};

template <typename Archive>
void serialize(Archive& archive, lease_row_without_foreign_leases& r)
{
    serialize_up_to_number(archive, r.row);
}

/// A lease row as it was written before `handed_over` was added.
struct lease_row_without_handover {
    lease_row row;
};

template <typename Archive>
void serialize(Archive& archive, lease_row_without_handover& r)
{
    archive(r.row.holder, r.row.address, r.row.incarnation, r.row.term, r.row.released,
            r.row.recovered);
}

/// A lease row as it was written before `recovered` was added.
struct lease_row_without_recovered {
    lease_row row;
};

template <typename Archive>
void serialize(Archive& archive, lease_row_without_recovered& r)
{
    archive(r.row.holder, r.row.address, r.row.incarnation, r.row.term, r.row.released);
}

template <typename Archive>
void serialize(Archive& archive, runner_entry& r)
{
    archive(r.id, r.service, r.address, r.failure_domain, r.labels, r.capacity, r.draining,
            r.started_at_ms);
}

template <typename Archive>
void serialize(Archive& archive, disturbance_estimate& p)
{
    archive(p.log_odds, p.reports);
}

template <typename Archive>
void serialize(Archive& archive, disturbance_model& l)
{
    archive(l.images, l.estimates, l.baseline_latency_percent);
}

template <typename Archive>
void serialize(Archive& archive, stored_job& j)
{
    archive(j.spec, j.queue_settings, j.submitted_at);
}

/// The current run is not stored: runners report it.
template <typename Archive>
void serialize(Archive& archive, task_record& t)
{
    archive(t.status, t.failures, t.failed_runs, t.checkpoint);
}

template <typename Archive>
void serialize(Archive& archive, step_record& s)
{
    archive(s.tasks);
}

template <typename Archive>
void serialize(Archive& archive, occurrence_record& o)
{
    archive(o.due, o.is_started, o.steps);
}

template <typename Archive>
void serialize(Archive& archive, stored_crashes& c)
{
    archive(c.occurrence, c.step, c.index, c.counts.is_suspect, c.counts.possible,
            c.counts.attributed, c.counts.has_open_run);
}

template <typename Archive>
void serialize(Archive& archive, task_position& p)
{
    archive(p.occurrence, p.step, p.index);
}

template <typename Archive>
void serialize(Archive& archive, stored_place& p)
{
    archive(p.runner, p.tasks);
}

template <typename Archive>
void serialize(Archive& archive, stored_progress& p)
{
    archive(p.state, p.occurrences);
}

namespace {

/// \param appended the value's fields that later versions have added, in that order. Processes of
/// earlier versions read what precedes them and ignore the rest.
template <typename T, typename... Fields>
std::string encode(const T& value, const Fields&... appended)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive{out};
    archive(value, appended...);
    return std::move(out).str();
}

/// Converts the exceptions that cereal throws on truncated or malformed input into an error.
/// \param appended as for `encode`; those behind the end of the text keep their defaults, as a
/// process of an earlier version has written it.
template <typename T, typename... Fields>
absl::StatusOr<T> decode(const std::string& text, const char* what, Fields T::*... appended)
{
    try {
        std::istringstream in{text};
        cereal::PortableBinaryInputArchive archive{in};
        T value;
        archive(value);
        [[maybe_unused]] const auto read_unless_at_end = [&](auto& field) {
            if (in.peek() != std::istringstream::traits_type::eof()) {
                archive(field);
            }
        };
        (read_unless_at_end(value.*appended), ...);
        return value;
    }
    catch (const std::exception& e) {
        return absl::InvalidArgumentError(std::string{what} + " cannot be read: " + e.what());
    }
}

absl::Status check_step(const graph_step& step, std::size_t index)
{
    if (step.tasks == 0 || step.tasks > config::max_tasks_per_step) {
        return absl::InvalidArgumentError(
            absl::StrCat("step ", index, " has ", step.tasks, " tasks"));
    }
    for (const std::uint32_t earlier : step.after) {
        if (earlier >= index) {
            return absl::InvalidArgumentError(
                absl::StrCat("step ", index, " depends on step ", earlier));
        }
    }
    return absl::OkStatus();
}

/// Checks what the scheduler relies on. Jobs from callers were checked when they were parsed.
absl::Status check_job(const graph_job& job)
{
    if (job.steps.empty() || job.steps.size() > config::max_steps) {
        return absl::InvalidArgumentError(absl::StrCat("job has ", job.steps.size(), " steps"));
    }
    if (job.repeats.count > config::max_occurrences) {
        return absl::InvalidArgumentError(
            absl::StrCat("job has ", job.repeats.count, " occurrences"));
    }
    for (std::size_t i{0}; i < job.steps.size(); ++i) {
        if (auto fault = check_step(job.steps[i], i); !fault.ok()) {
            return fault;
        }
    }
    return absl::OkStatus();
}

bool is_job_state(job_state state)
{
    return state <= job_state::withdrawn;
}

/// Adds the crash counts and the places of service runs to the row.
void add_crashes_and_places(stored_progress& progress,
                            const std::vector<occurrence_record>& occurrences)
{
    std::map<std::pair<runner_id, std::int64_t>, std::vector<task_position>> places;
    for (std::uint32_t k{0}; k < occurrences.size(); ++k) {
        const auto& steps = occurrences[k].steps;
        for (std::uint32_t step{0}; step < steps.size(); ++step) {
            const auto& tasks = steps[step].tasks;
            for (std::uint32_t i{0}; i < tasks.size(); ++i) {
                if (tasks[i].crashes.has_counted()) {
                    progress.crashes.push_back({k, step, i, tasks[i].crashes});
                }
                if (!tasks[i].placed_on.value.empty()) {
                    places[{tasks[i].placed_on, tasks[i].placed_incarnation}].push_back(
                        {k, step, i});
                }
                if (tasks[i].has_survived_there) {
                    progress.survivors.push_back({k, step, i});
                }
            }
        }
    }
    for (auto& [place, tasks] : places) {
        progress.places.push_back({place.first, std::move(tasks)});
        progress.incarnations.push_back(place.second);
    }
}

/// Leaves out the tasks of finished steps and the steps of finished occurrences.
void drop_finished_tasks(std::vector<occurrence_record>& occurrences)
{
    for (occurrence_record& o : occurrences) {
        if (o.is_started && o.unfinished_steps == 0) {
            o.steps.clear();
        }
        for (step_record& step : o.steps) {
            if (step.unfinished == 0) {
                step.tasks.clear();
            }
        }
    }
}

/// \return the task at a position, or null.
task_record* find_task_at(stored_progress& progress, const task_position& at)
{
    if (at.occurrence >= progress.occurrences.size()) {
        return nullptr;
    }
    auto& steps = progress.occurrences[at.occurrence].steps;
    if (at.step >= steps.size() || at.index >= steps[at.step].tasks.size()) {
        return nullptr;
    }
    return &steps[at.step].tasks[at.index];
}

/// Copies the crash counts and the places to the tasks that they belong to.
void apply_crashes_and_places(stored_progress& progress)
{
    for (const stored_crashes& each : progress.crashes) {
        const task_position at{each.occurrence, each.step, each.index};
        if (task_record* const task = find_task_at(progress, at)) {
            task->crashes = each.counts;
        }
    }
    // Places that a process of an earlier version has written have none.
    progress.incarnations.resize(progress.places.size());
    for (std::size_t i{0}; i < progress.places.size(); ++i) {
        const stored_place& place = progress.places[i];
        for (const task_position& at : place.tasks) {
            if (task_record* const task = find_task_at(progress, at)) {
                task->placed_on = place.runner;
                task->placed_incarnation = progress.incarnations[i];
                task->crashes.has_open_run = true;
            }
        }
    }
    for (const task_position& at : progress.survivors) {
        if (task_record* const task = find_task_at(progress, at)) {
            task->has_survived_there = true;
            task->crashes.has_open_run = false;
        }
    }
}

std::string encode_with_appended(const stored_progress& p)
{
    return encode(p, p.crashes, p.places, p.survivors, p.incarnations);
}

} // namespace

std::string encode_head(const head_row& row)
{
    return encode(row);
}

absl::StatusOr<head_row> decode_head(const std::string& text)
{
    return decode<head_row>(text, "newest commit");
}

std::string encode_lease(const lease_row& row)
{
    return encode(row);
}

absl::StatusOr<lease_row> decode_lease(const std::string& text)
{
    auto row = decode<lease_row>(text, "lease");
    if (row.ok()) {
        return row;
    }
    if (const auto earlier = decode<lease_row_without_foreign_leases>(text, "lease");
        earlier.ok()) {
        return earlier->row;
    }
    if (const auto earlier = decode<lease_row_without_handover>(text, "lease"); earlier.ok()) {
        return earlier->row;
    }
    if (const auto earlier = decode<lease_row_without_recovered>(text, "lease"); earlier.ok()) {
        return earlier->row;
    }
    return row;
}

std::string encode_capacity(const vm_capacity& capacity)
{
    return encode(capacity);
}

absl::StatusOr<vm_capacity> decode_capacity(const std::string& text)
{
    return decode<vm_capacity>(text, "VM capacity");
}

std::string encode_job(const stored_job& job)
{
    return job.owner.name.empty() ? encode(job) : encode(job, job.owner);
}

absl::StatusOr<stored_job> decode_stored_job(const std::string& text)
{
    auto job = decode(text, "job", &stored_job::owner);
    if (job.ok()) {
        if (auto fault = check_job(job->spec); !fault.ok()) {
            return fault;
        }
    }
    return job;
}

std::string encode_runner(const runner_entry& runner)
{
    return encode(runner);
}

absl::StatusOr<runner_entry> decode_runner(const std::string& text)
{
    return decode<runner_entry>(text, "used runner");
}

std::string encode_disturbance(const disturbance_model& model)
{
    return encode(model);
}

absl::StatusOr<disturbance_model> decode_disturbance(const std::string& text)
{
    auto model = decode<disturbance_model>(text, "learned disturbance");
    if (!model.ok()) {
        return model;
    }
    const std::size_t count = model->images.size();
    bool fits = model->estimates.size() == count;
    for (const auto& row : model->estimates) {
        fits = fits && row.size() == count;
    }
    for (const auto& [name, number] : model->images) {
        fits = fits && number < count;
    }
    if (!fits) {
        return absl::InvalidArgumentError(
            "learned disturbance: the matrix does not match the number of images");
    }
    return model;
}

std::string encode_progress(const job_record& job)
{
    stored_progress progress;
    progress.state = job.state;
    if (!job.has_ended()) {
        progress.occurrences = job.occurrences;
        add_crashes_and_places(progress, job.occurrences);
    }
    std::string text = encode_with_appended(progress);
    // Only then, as processes of earlier versions do not know that a finished step has no tasks.
    if (text.size() > config::max_row_bytes) {
        drop_finished_tasks(progress.occurrences);
        text = encode_with_appended(progress);
    }
    return text;
}

std::uint32_t max_open_occurrences(const stored_job& job)
{
    // Bytes of an encoded occurrence, step and task without checkpoint, failures and crashes. The
    // place of a service task takes less than what these may take later.
    constexpr std::size_t occurrence_bytes{17};
    constexpr std::size_t step_bytes{8};
    constexpr std::size_t task_bytes{21};
    std::size_t steps_bytes{0};
    for (const graph_step& step : job.spec.steps) {
        steps_bytes += step_bytes + step.tasks * task_bytes;
    }
    const std::size_t occurrences = std::max(job.spec.repeats.count, 1U);
    const std::size_t least_bytes = occurrences * occurrence_bytes;
    if (encode_job(job).size() > config::max_job_bytes || least_bytes > config::max_job_bytes) {
        return 0;
    }
    const std::size_t most = (config::max_job_bytes - least_bytes) / steps_bytes;
    return static_cast<std::uint32_t>(std::min(most, occurrences));
}

absl::StatusOr<stored_progress> decode_progress(const std::string& text)
{
    auto progress =
        decode(text, "job progress", &stored_progress::crashes, &stored_progress::places,
               &stored_progress::survivors, &stored_progress::incarnations);
    if (!progress.ok()) {
        return progress;
    }
    if (!is_job_state(progress->state)) {
        return absl::InvalidArgumentError("job progress: unknown state");
    }
    apply_crashes_and_places(*progress);
    return progress;
}

std::string encode_call(const job_call& call)
{
    return call.organisation.empty() ? encode(call) : encode(call, call.organisation);
}

absl::StatusOr<job_call> decode_call(const std::string& text)
{
    auto call = decode(text, "peer call", &job_call::organisation);
    if (!call.ok()) {
        return call;
    }
    const bool is_submission = call->kind == call_kind::submit;
    if (call->kind > call_kind::count_pending || is_submission != call->submitted.has_value()) {
        return absl::InvalidArgumentError("peer call: kind and content do not match");
    }
    if (is_submission) {
        if (auto fault = check_job(*call->submitted); !fault.ok()) {
            return fault;
        }
    }
    return call;
}

std::string encode_answer(const call_answer& answer)
{
    return encode(answer, answer.held);
}

absl::StatusOr<call_answer> decode_answer(const std::string& text)
{
    auto answer = decode(text, "peer answer", &call_answer::held);
    if (!answer.ok()) {
        return answer;
    }
    if (answer->result > call_result::unauthenticated || !is_job_state(answer->state)) {
        return absl::InvalidArgumentError("peer answer: unknown result or state");
    }
    return answer;
}

} // namespace cuminmoor::central
