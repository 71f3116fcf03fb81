/// \file
/// Applies log records to a ledger.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "context.h"
#include "cuminmoor/job.h"

namespace cuminmoor {

namespace {

absl::Status record_error(const std::string& subject, const char* problem)
{
    return absl::FailedPreconditionError(absl::StrCat(subject, ": ", problem));
}

/// A task and its job; both null if the task does not exist.
struct located_task {
    job_entry* job{nullptr};
    task_entry* task{nullptr};
};

located_task locate(ledger& job_ledger, const task_id& id)
{
    const auto job = job_ledger.jobs.find(id.job);
    if (job == job_ledger.jobs.end()) {
        return {};
    }
    const auto task = job->second.tasks.find(id.index);
    return task == job->second.tasks.end() ? located_task{}
                                           : located_task{&job->second, &task->second};
}

queue_key key_of(const job_entry& job, const task_id& id)
{
    return {job.spec.kind, job.sequence, id};
}

/// Changes the phase and updates the job's totals and the set of waiting tasks. Setting or clearing
/// `current_assignment` is up to the calling function.
void set_phase(ledger& job_ledger, located_task at, const task_id& id, task_phase phase)
{
    if (at.task->phase == task_phase::waiting) {
        job_ledger.waiting.erase(key_of(*at.job, id));
    }
    --at.job->totals.in(at.task->phase);
    at.task->phase = phase;
    ++at.job->totals.in(phase);
    if (phase == task_phase::waiting) {
        job_ledger.waiting.insert(key_of(*at.job, id));
    }
}

void add_task(ledger& job_ledger, job_entry& job, std::uint32_t index, task_entry entry)
{
    const task_id id{job.spec.id, index};
    ++job.totals.in(entry.phase);
    if (entry.phase == task_phase::waiting) {
        job_ledger.waiting.insert(key_of(job, id));
    }
    job.tasks.insert_or_assign(index, std::move(entry));
}

/// Releases the resources that the assignment holds on the worker and clears the assignment.
void drop_assignment(ledger& job_ledger, task_entry& task, const task_id& id)
{
    const vm_id worker = task.current_assignment->worker;
    const auto share = job_ledger.committed.find(worker);
    if (share != job_ledger.committed.end()) {
        share->second -= task.current_assignment->size;
        if (share->second == resources{}) {
            job_ledger.committed.erase(share);
        }
    }
    const auto ids = job_ledger.tasks_by_worker.find(worker);
    if (ids != job_ledger.tasks_by_worker.end()) {
        ids->second.erase(id);
        if (ids->second.empty()) {
            job_ledger.tasks_by_worker.erase(ids);
        }
    }
    task.current_assignment.reset();
}

bool is_assigned(const located_task& at, std::uint32_t attempt)
{
    return at.task != nullptr && at.task->current_assignment &&
           at.task->current_assignment->attempt == attempt;
}

job_entry& add_job(ledger& job_ledger, const job_spec& spec, std::int64_t submitted_at_s)
{
    auto& job = job_ledger.jobs[spec.id];
    job.spec = spec;
    job.submitted_at_s = submitted_at_s;
    job.sequence = job_ledger.next_sequence++;
    return job;
}

absl::Status apply(ledger& job_ledger, const job_admitted& r)
{
    if (job_ledger.jobs.contains(r.spec.id)) {
        return record_error(r.spec.id.value, "the job already exists");
    }
    auto& job = add_job(job_ledger, r.spec, r.submitted_at_s);
    for (std::uint32_t i = 0; i < r.spec.tasks; ++i) {
        add_task(job_ledger, job, i, {});
    }
    return absl::OkStatus();
}

absl::Status apply(ledger& job_ledger, const task_moved_in& r)
{
    auto at = locate(job_ledger, r.task);
    if (at.task != nullptr && at.task->phase != task_phase::moved) {
        return record_error(to_string(r.task), "the task already exists and was not moved out");
    }
    const auto found = job_ledger.jobs.find(r.task.job);
    auto& job = found == job_ledger.jobs.end() ? add_job(job_ledger, r.spec, r.submitted_at_s)
                                               : found->second;
    if (at.task != nullptr) {
        --job.totals.in(task_phase::moved);
    }
    task_entry entry;
    entry.phase = job.cancelled ? task_phase::cancelled : task_phase::waiting;
    entry.attempts = r.attempts;
    entry.checkpoint = r.checkpoint;
    add_task(job_ledger, job, r.task.index, std::move(entry));
    return absl::OkStatus();
}

/// \return the phase of a task that is neither assigned nor ended: cancelled if its job is
/// cancelled or its index is not below the service's number of tasks, otherwise waiting.
task_phase idle_phase(const job_entry& job, std::uint32_t index)
{
    const bool is_wanted = !job.cancelled && !(job.is_service && index >= job.spec.tasks);
    return is_wanted ? task_phase::waiting : task_phase::cancelled;
}

/// Updates one task after a change of its service's number of tasks: an unassigned task becomes
/// waiting or cancelled; an assigned task that is not needed any more is marked for stopping.
void resize_task(ledger& job_ledger, job_entry& job, std::uint32_t index, task_entry& task)
{
    if (!task.current_assignment) {
        set_phase(job_ledger, {&job, &task}, {job.spec.id, index}, idle_phase(job, index));
    }
    else if (idle_phase(job, index) == task_phase::cancelled) {
        task.current_assignment->stopping = true;
        task.current_assignment->stop_cause = release_cause::cancelled;
    }
}

absl::Status apply(ledger& job_ledger, const service_sized& r)
{
    const auto found = job_ledger.jobs.find(r.spec.id);
    if (found != job_ledger.jobs.end() && !found->second.is_service) {
        return record_error(r.spec.id.value,
                            "a job that is not a service has the name of the service's tasks");
    }
    auto& job = found == job_ledger.jobs.end() ? add_job(job_ledger, r.spec, 0) : found->second;
    job.is_service = true;
    job.spec = r.spec;
    for (auto& [index, task] : job.tasks) {
        resize_task(job_ledger, job, index, task);
    }
    for (std::uint32_t i = 0; i < r.spec.tasks; ++i) {
        if (!job.tasks.contains(i)) {
            add_task(job_ledger, job, i, {});
        }
    }
    return absl::OkStatus();
}

absl::Status apply(ledger& job_ledger, const task_assigned& r)
{
    const auto at = locate(job_ledger, r.task);
    if (at.task == nullptr || at.task->phase != task_phase::waiting) {
        return record_error(to_string(r.task), "only a waiting task can be assigned");
    }
    if (r.attempt != at.task->attempts + 1) {
        return record_error(to_string(r.task), "the attempt number is not the next one");
    }
    const auto share = job_ledger.committed.find(r.worker);
    const resources held = share == job_ledger.committed.end() ? resources{} : share->second;
    if (!(held + r.size).fits(r.capacity)) {
        return record_error(r.worker.value, "the task exceeds the remaining capacity of the VM");
    }
    set_phase(job_ledger, at, r.task, task_phase::assigned);
    at.task->attempts = r.attempt;
    at.task->current_assignment = assignment{
        r.worker, r.incarnation, r.attempt, r.size, r.start_before, false, release_cause::evicted};
    job_ledger.committed[r.worker] = held + r.size;
    job_ledger.tasks_by_worker[r.worker].insert(r.task);
    return absl::OkStatus();
}

absl::Status apply(ledger& job_ledger, const task_stop_ordered& r)
{
    const auto at = locate(job_ledger, r.task);
    if (!is_assigned(at, r.attempt)) {
        return record_error(to_string(r.task), "no such attempt is assigned");
    }
    at.task->current_assignment->stopping = true;
    at.task->current_assignment->stop_cause = r.cause;
    return absl::OkStatus();
}

bool is_eviction(release_cause cause)
{
    return cause == release_cause::evicted || cause == release_cause::domain_out ||
           cause == release_cause::lapsed;
}

absl::Status apply(ledger& job_ledger, const task_released& r)
{
    const auto at = locate(job_ledger, r.task);
    if (!is_assigned(at, r.attempt)) {
        return record_error(to_string(r.task), "no such attempt is assigned");
    }
    if (r.cause == release_cause::failed) {
        ++at.task->failures;
        at.task->failed_on.insert(at.task->current_assignment->worker);
    }
    if (is_eviction(r.cause)) {
        ++at.task->evictions;
        ++at.job->evictions;
    }
    if (!r.checkpoint.empty()) {
        at.task->checkpoint = r.checkpoint;
    }
    drop_assignment(job_ledger, *at.task, r.task);
    set_phase(job_ledger, at, r.task, idle_phase(*at.job, r.task.index));
    return absl::OkStatus();
}

absl::Status end_attempt(ledger& job_ledger, const task_id& id, std::uint32_t attempt,
                         task_phase phase)
{
    const auto at = locate(job_ledger, id);
    if (!is_assigned(at, attempt)) {
        return record_error(to_string(id), "no such attempt is assigned");
    }
    drop_assignment(job_ledger, *at.task, id);
    set_phase(job_ledger, at, id, phase);
    return absl::OkStatus();
}

absl::Status apply(ledger& job_ledger, const task_finished& r)
{
    return end_attempt(job_ledger, r.task, r.attempt, task_phase::finished);
}

absl::Status apply(ledger& job_ledger, const task_failed& r)
{
    return end_attempt(job_ledger, r.task, r.attempt, task_phase::failed);
}

absl::Status apply(ledger& job_ledger, const task_moved_out& r)
{
    const auto at = locate(job_ledger, r.task);
    if (at.task == nullptr || at.task->phase != task_phase::waiting) {
        return record_error(to_string(r.task), "only a waiting task can be moved");
    }
    set_phase(job_ledger, at, r.task, task_phase::moved);
    at.job->moved_to.insert(r.to);
    return absl::OkStatus();
}

absl::Status apply(ledger& job_ledger, const job_cancelled& r)
{
    const auto job = job_ledger.jobs.find(r.job);
    if (job == job_ledger.jobs.end()) {
        return record_error(r.job.value, "no such job");
    }
    job->second.cancelled = true;
    for (auto& [index, task] : job->second.tasks) {
        if (task.phase == task_phase::waiting) {
            set_phase(job_ledger, {&job->second, &task}, {r.job, index}, task_phase::cancelled);
        }
        else if (task.current_assignment) {
            task.current_assignment->stopping = true;
            task.current_assignment->stop_cause = release_cause::cancelled;
        }
    }
    return absl::OkStatus();
}

absl::Status apply(ledger& job_ledger, const job_forgotten& r)
{
    const auto job = job_ledger.jobs.find(r.job);
    if (job == job_ledger.jobs.end() || !job->second.has_ended()) {
        return record_error(r.job.value,
                            "only a job that has ended can be removed from the ledger");
    }
    job_ledger.jobs.erase(job);
    return absl::OkStatus();
}

} // namespace

absl::Status apply_record(ledger& job_ledger, const ledger_record& record)
{
    return std::visit([&job_ledger](const auto& r) { return apply(job_ledger, r); }, record);
}

std::size_t count_assigned(const ledger& job_ledger)
{
    std::size_t count = 0;
    for (const auto& [worker, tasks] : job_ledger.tasks_by_worker) {
        count += tasks.size();
    }
    return count;
}

const task_entry* find_task(const ledger& job_ledger, const task_id& id)
{
    const auto job = job_ledger.jobs.find(id.job);
    if (job == job_ledger.jobs.end()) {
        return nullptr;
    }
    const auto task = job->second.tasks.find(id.index);
    return task == job->second.tasks.end() ? nullptr : &task->second;
}

const assignment* find_assignment(const ledger& job_ledger, const task_id& id,
                                  std::uint32_t attempt, const vm_id& worker)
{
    const auto* const task = find_task(job_ledger, id);
    if (task == nullptr || !task->current_assignment ||
        task->current_assignment->attempt != attempt ||
        task->current_assignment->worker != worker) {
        return nullptr;
    }
    return &*task->current_assignment;
}

} // namespace cuminmoor
