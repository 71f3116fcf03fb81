/// \file
/// The ledger as the fold of its records.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "context.h"
#include "cuminmoor/job.h"

namespace cuminmoor {

namespace {

absl::Status contradiction(const std::string& subject, const char* problem)
{
    return absl::FailedPreconditionError(absl::StrCat(subject, ": ", problem));
}

/// A task together with its job, both found.
struct located_task {
    job_entry* job{nullptr};
    task_entry* task{nullptr};
};

located_task locate(ledger& book, const task_id& id)
{
    const auto job = book.jobs.find(id.job);
    if (job == book.jobs.end()) {
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

/// Changes the phase and keeps totals and queue in step. `task.where` is the caller's.
void set_phase(ledger& book, located_task at, const task_id& id, task_phase phase)
{
    if (at.task->phase == task_phase::waiting) {
        book.waiting.erase(key_of(*at.job, id));
    }
    --at.job->totals.in(at.task->phase);
    at.task->phase = phase;
    ++at.job->totals.in(phase);
    if (phase == task_phase::waiting) {
        book.waiting.insert(key_of(*at.job, id));
    }
}

void add_task(ledger& book, job_entry& job, std::uint32_t index, task_entry entry)
{
    const task_id id{job.spec.id, index};
    ++job.totals.in(entry.phase);
    if (entry.phase == task_phase::waiting) {
        book.waiting.insert(key_of(job, id));
    }
    job.tasks.insert_or_assign(index, std::move(entry));
}

/// Frees the worker's share and clears the assignment.
void drop_assignment(ledger& book, task_entry& task, const task_id& id)
{
    const vm_id worker = task.where->worker;
    const auto share = book.committed.find(worker);
    if (share != book.committed.end()) {
        share->second -= task.where->size;
        if (share->second == resources{}) {
            book.committed.erase(share);
        }
    }
    const auto ids = book.on_worker.find(worker);
    if (ids != book.on_worker.end()) {
        ids->second.erase(id);
        if (ids->second.empty()) {
            book.on_worker.erase(ids);
        }
    }
    task.where.reset();
}

bool is_assigned(const located_task& at, std::uint32_t attempt)
{
    return at.task != nullptr && at.task->where && at.task->where->attempt == attempt;
}

job_entry& add_job(ledger& book, const job_spec& spec, std::int64_t submitted_at_s)
{
    auto& job = book.jobs[spec.id];
    job.spec = spec;
    job.submitted_at_s = submitted_at_s;
    job.sequence = book.next_sequence++;
    return job;
}

absl::Status apply(ledger& book, const job_admitted& r)
{
    if (book.jobs.contains(r.spec.id)) {
        return contradiction(r.spec.id.value, "the job is already here");
    }
    auto& job = add_job(book, r.spec, r.submitted_at_s);
    for (std::uint32_t i = 0; i < r.spec.tasks; ++i) {
        add_task(book, job, i, {});
    }
    return absl::OkStatus();
}

absl::Status apply(ledger& book, const task_moved_in& r)
{
    auto at = locate(book, r.task);
    if (at.task != nullptr && at.task->phase != task_phase::moved) {
        return contradiction(to_string(r.task), "the task is already here");
    }
    const auto found = book.jobs.find(r.task.job);
    auto& job = found == book.jobs.end() ? add_job(book, r.spec, r.submitted_at_s) : found->second;
    if (at.task != nullptr) {
        --job.totals.in(task_phase::moved);
    }
    task_entry entry;
    entry.phase = job.cancelled ? task_phase::cancelled : task_phase::waiting;
    entry.attempts = r.attempts;
    entry.checkpoint = r.checkpoint;
    add_task(book, job, r.task.index, std::move(entry));
    return absl::OkStatus();
}

absl::Status apply(ledger& book, const task_assigned& r)
{
    const auto at = locate(book, r.task);
    if (at.task == nullptr || at.task->phase != task_phase::waiting) {
        return contradiction(to_string(r.task), "only a waiting task can be assigned");
    }
    if (r.attempt != at.task->attempts + 1) {
        return contradiction(to_string(r.task), "the attempt is not the next one");
    }
    const auto share = book.committed.find(r.worker);
    const resources held = share == book.committed.end() ? resources{} : share->second;
    if (!(held + r.size).fits(r.capacity)) {
        return contradiction(r.worker.value, "the task would go beyond the VM");
    }
    set_phase(book, at, r.task, task_phase::assigned);
    at.task->attempts = r.attempt;
    at.task->where = assignment{r.worker, r.incarnation,         r.attempt, r.size, r.start_before,
                                false,    release_cause::evicted};
    book.committed[r.worker] = held + r.size;
    book.on_worker[r.worker].insert(r.task);
    return absl::OkStatus();
}

absl::Status apply(ledger& book, const task_stop_ordered& r)
{
    const auto at = locate(book, r.task);
    if (!is_assigned(at, r.attempt)) {
        return contradiction(to_string(r.task), "no such attempt is assigned");
    }
    at.task->where->stopping = true;
    at.task->where->stop_cause = r.cause;
    return absl::OkStatus();
}

bool is_eviction(release_cause cause)
{
    return cause == release_cause::evicted || cause == release_cause::domain_out ||
           cause == release_cause::lapsed;
}

absl::Status apply(ledger& book, const task_released& r)
{
    const auto at = locate(book, r.task);
    if (!is_assigned(at, r.attempt)) {
        return contradiction(to_string(r.task), "no such attempt is assigned");
    }
    if (r.cause == release_cause::failed) {
        ++at.task->failures;
        at.task->failed_on.insert(at.task->where->worker);
    }
    if (is_eviction(r.cause)) {
        ++at.task->evictions;
        ++at.job->evictions;
    }
    if (!r.checkpoint.empty()) {
        at.task->checkpoint = r.checkpoint;
    }
    drop_assignment(book, *at.task, r.task);
    set_phase(book, at, r.task, at.job->cancelled ? task_phase::cancelled : task_phase::waiting);
    return absl::OkStatus();
}

absl::Status end_attempt(ledger& book, const task_id& id, std::uint32_t attempt, task_phase phase)
{
    const auto at = locate(book, id);
    if (!is_assigned(at, attempt)) {
        return contradiction(to_string(id), "no such attempt is assigned");
    }
    drop_assignment(book, *at.task, id);
    set_phase(book, at, id, phase);
    return absl::OkStatus();
}

absl::Status apply(ledger& book, const task_finished& r)
{
    return end_attempt(book, r.task, r.attempt, task_phase::finished);
}

absl::Status apply(ledger& book, const task_failed& r)
{
    return end_attempt(book, r.task, r.attempt, task_phase::failed);
}

absl::Status apply(ledger& book, const task_moved_out& r)
{
    const auto at = locate(book, r.task);
    if (at.task == nullptr || at.task->phase != task_phase::waiting) {
        return contradiction(to_string(r.task), "only a waiting task can be moved");
    }
    set_phase(book, at, r.task, task_phase::moved);
    at.job->moved_to.insert(r.to);
    return absl::OkStatus();
}

absl::Status apply(ledger& book, const job_cancelled& r)
{
    const auto job = book.jobs.find(r.job);
    if (job == book.jobs.end()) {
        return contradiction(r.job.value, "no such job");
    }
    job->second.cancelled = true;
    for (auto& [index, task] : job->second.tasks) {
        if (task.phase == task_phase::waiting) {
            set_phase(book, {&job->second, &task}, {r.job, index}, task_phase::cancelled);
        }
        else if (task.where) {
            task.where->stopping = true;
            task.where->stop_cause = release_cause::cancelled;
        }
    }
    return absl::OkStatus();
}

absl::Status apply(ledger& book, const job_forgotten& r)
{
    const auto job = book.jobs.find(r.job);
    if (job == book.jobs.end() || !job->second.has_ended()) {
        return contradiction(r.job.value, "only an ended job can be forgotten");
    }
    book.jobs.erase(job);
    return absl::OkStatus();
}

} // namespace

absl::Status apply_record(ledger& book, const ledger_record& record)
{
    return std::visit([&book](const auto& r) { return apply(book, r); }, record);
}

std::size_t count_assigned(const ledger& book)
{
    std::size_t count = 0;
    for (const auto& [worker, tasks] : book.on_worker) {
        count += tasks.size();
    }
    return count;
}

const task_entry* find_task(const ledger& book, const task_id& id)
{
    const auto job = book.jobs.find(id.job);
    if (job == book.jobs.end()) {
        return nullptr;
    }
    const auto task = job->second.tasks.find(id.index);
    return task == job->second.tasks.end() ? nullptr : &task->second;
}

const assignment* find_assignment(const ledger& book, const task_id& id, std::uint32_t attempt,
                                  const vm_id& worker)
{
    const auto* const task = find_task(book, id);
    if (task == nullptr || !task->where || task->where->attempt != attempt ||
        task->where->worker != worker) {
        return nullptr;
    }
    return &*task->where;
}

} // namespace cuminmoor
