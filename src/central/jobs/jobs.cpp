/// \file
/// Life cycle of a job: submission, readiness of its steps, queries, cancellation and end.
#include "central/parts.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "central/store/codec.h"

namespace cuminmoor::central {

namespace {

/// \return the sum of the estimated run times along the longest chain of dependent steps.
millis critical_path_length(const graph_job& job)
{
    std::vector<millis> run_times;
    for (const graph_step& step : job.steps) {
        run_times.push_back(step.run_time);
    }
    const std::vector<millis> chains = times_to_end(job, run_times);
    return chains.empty() ? millis{} : *std::max_element(chains.begin(), chains.end());
}

millis objective(const graph_job& job, const queue& queue_settings)
{
    const auto chain = static_cast<double>(critical_path_length(job).count);
    return millis{static_cast<std::int64_t>(chain * queue_settings.stretch)} + queue_settings.slack;
}

/// Marks the blocked tasks of a step as ready.
/// \param is_reconciled whether to flag the tasks as reconciled, see `task_record`.
void mark_step_ready(const context& c, job_record& job, std::uint32_t occurrence,
                     std::uint32_t step, bool is_reconciled = false)
{
    step_record& progress = job.occurrences[occurrence].steps[step];
    for (std::uint32_t i{0}; i < progress.tasks.size(); ++i) {
        progress.tasks[i].is_reconciled = progress.tasks[i].is_reconciled || is_reconciled;
        const graph_task_id id{job.spec.id, occurrence, step, i};
        if (progress.tasks[i].status == task_status::blocked) {
            mark_task_ready(c, id, find_task(c.s, id));
            c.s.scheduler.has_new_ready = true;
        }
    }
}

/// Unblocks the dependent steps of a finished step; ends the job after its last unfinished step.
/// \param was_reconciled whether the step's last task was reconciled in this term. No earlier
/// holder learned of its end while it gave orders, so none started the dependent steps.
void finish_step(const context& c, job_record& job, std::uint32_t occurrence, std::uint32_t step,
                 bool was_reconciled)
{
    occurrence_record& o = job.occurrences[occurrence];
    --o.unfinished_steps;
    for (std::uint32_t dependent{0}; dependent < o.steps.size(); ++dependent) {
        const auto& after = job.spec.steps[dependent].after;
        if (std::find(after.begin(), after.end(), step) == after.end()) {
            continue;
        }
        if (--o.steps[dependent].unfinished_dependencies == 0) {
            mark_step_ready(c, job, occurrence, dependent, was_reconciled);
        }
    }
    if (o.unfinished_steps > 0) {
        return;
    }
    if (--job.unfinished_occurrences == 0) {
        end_job(c, job, job_state::completed, "all tasks are done");
    }
    else {
        // One may have waited until fewer are open.
        start_due_occurrences(c, job);
    }
}

/// A step may name an earlier one more than once; it waits for it once.
void remove_repeated_dependencies(graph_job& job)
{
    for (graph_step& step : job.steps) {
        std::sort(step.after.begin(), step.after.end());
        step.after.erase(std::unique(step.after.begin(), step.after.end()), step.after.end());
    }
}

/// Copies the current settings of the job's queue to the job; if the queue was removed, the job
/// keeps its previous settings.
void refresh_queue_settings(const context& c, job_record& job)
{
    if (const queue* const q = find_queue(c.s.operators.newest, job.spec.queue)) {
        job.queue_settings = *q;
    }
}

/// Takes a submission that arrives after the job's cancellation: the job is shown as cancelled.
void accept_withdrawn(const context& c, call_handle handle, job_record& job)
{
    c.log("submitted_after_cancellation", {{"job", job.spec.id.value}});
    job.state = job_state::cancelled;
    job.submitters.push_back(handle);
    mark_changed(c, job);
}

/// \return true if the store has the job as submitted.
bool is_submission_stored(const job_record& job)
{
    return job.stored != stored_part::nothing && job.published_state != job_state::withdrawn;
}

/// \return why the submission's organisation may not submit here, or `accepted`.
call_result check_owner(const context& c, const job_call& call)
{
    const manifest& newest = c.s.operators.newest;
    const bool is_known = call.organisation.empty() || !newest.organisations ||
                          find_organisation(newest, call.organisation) != nullptr;
    if (is_known) {
        return call_result::accepted;
    }
    // The VM that received it may know a newer manifest, or an older one.
    return call.manifest_version > newest.version ? call_result::unavailable
                                                  : call_result::unauthenticated;
}

void submit(const context& c, call_handle handle, const job_call& call)
{
    scheduler_state& s = c.s.scheduler;
    const auto known = s.jobs.find(call.job);
    const bool is_withdrawn = known != s.jobs.end() && known->second.state == job_state::withdrawn;
    if (known != s.jobs.end() && !is_withdrawn) {
        if (is_submission_stored(known->second)) {
            answer(c, handle, {.result = call_result::accepted});
        }
        else {
            known->second.submitters.push_back(handle);
        }
        return;
    }
    const queue* const q = find_queue(c.s.operators.newest, call.queue);
    if (q == nullptr || is_store_failing(c) || c.s.lease.releasing) {
        answer(c, handle, {.result = call_result::unavailable, .retry_after = config::retry_after});
        return;
    }
    if (const call_result allowed = check_owner(c, call); allowed != call_result::accepted) {
        answer(c, handle, {.result = allowed, .retry_after = config::retry_after});
        return;
    }
    if (is_withdrawn) {
        accept_withdrawn(c, handle, known->second);
        return;
    }
    job_record job = make_job(*call.submitted, *q, c.now);
    if (job.max_open_occurrences == 0) {
        answer(c, handle, {.result = call_result::malformed});
        return;
    }
    job.owner = owner_of(c, call.organisation);
    job.submitters.push_back(handle);
    auto& added = s.jobs.emplace(call.job, std::move(job)).first->second;
    add_owner(c, added);
    ++s.pending[added.spec.queue];
    mark_changed(c, added);
}

/// \return true if no other VM can hold the lease now: one claims it when its row has not changed
/// for `lease_length`, or has been released.
bool is_lease_certain(const context& c)
{
    const lease_state& l = c.s.lease;
    return c.now - l.renewed_at < config::lease_length && !l.release_in_flight;
}

/// Leaves a call open and handles it once more soon, here or where the lease is then. A peer does
/// that itself, as it may know more.
void handle_again(const context& c, call_handle handle)
{
    const auto found = c.s.calls.find(handle);
    if (found == c.s.calls.end()) {
        return;
    }
    open_call& call = found->second;
    if (call.from_peer) {
        answer(c, handle, {.result = call_result::not_scheduler});
        return;
    }
    call.dispatched = false;
    call.retry_at = c.now + config::call_retry;
    c.wake_by(call.retry_at);
}

void query(const context& c, call_handle handle, const job_call& call)
{
    const auto& jobs = c.s.scheduler.jobs;
    const auto found = jobs.find(call.job);
    const bool is_known = found != jobs.end() && is_submission_stored(found->second);
    if (!is_known && !is_lease_certain(c)) {
        // A successor may have accepted it.
        handle_again(c, handle);
        return;
    }
    if (!is_known) {
        answer(c, handle, {.result = call_result::unknown_job});
        return;
    }
    answer(c, handle, {.result = call_result::state, .state = found->second.published_state});
}

/// Logs a cancellation that this VM processes as the scheduler.
/// \param outcome what it did to the job.
void log_cancellation(const context& c, call_handle handle, const job_call& call,
                      const std::string& outcome, bool waits_for_store)
{
    std::vector<log_field> fields{{"job", call.job.value},
                                  {"forwarded_by", call.forwarded_by.value},
                                  {"outcome", outcome},
                                  {"waits_for_store", waits_for_store ? "true" : "false"}};
    // A call that was deferred while the jobs were being loaded may have timed out.
    const auto open = c.s.calls.find(handle);
    if (open != c.s.calls.end()) {
        const millis waited = c.now - open->second.opened_at;
        fields.push_back({"waited_ms", absl::StrCat(waited.count)});
    }
    c.log("cancel_processed", std::move(fields));
}

/// Records the cancellation of a job whose submission may still be on its way, to a VM that is
/// frozen or to another holder of the lease.
void withdraw(const context& c, call_handle handle, const job_call& call)
{
    log_cancellation(c, handle, call, "unknown_job", true);
    job_record job;
    job.spec.id = call.job;
    job.spec.queue = call.queue;
    job.state = job_state::withdrawn;
    job.ended_at = c.now;
    job.cancellers.push_back(handle);
    mark_changed(c, c.s.scheduler.jobs.emplace(call.job, std::move(job)).first->second);
}

void cancel(const context& c, call_handle handle, const job_call& call)
{
    auto& jobs = c.s.scheduler.jobs;
    const auto found = jobs.find(call.job);
    if (found == jobs.end()) {
        withdraw(c, handle, call);
        return;
    }
    job_record& job = found->second;
    const bool had_ended = job.has_ended();
    if (!had_ended) {
        end_job(c, job, job_state::cancelled, "cancelled by its owner");
    }
    const bool is_stored = job.published_state == job.state;
    log_cancellation(c, handle, call, had_ended ? "ended_before" : "ended_now", !is_stored);
    if (is_stored) {
        answer_canceller(c, handle, job);
        return;
    }
    job.cancellers.push_back(handle);
}

void count_pending(const context& c, call_handle handle, const job_call& call)
{
    const auto& pending = c.s.scheduler.pending;
    const auto found = pending.find(call.queue);
    const std::uint64_t count = found == pending.end() ? 0 : found->second;
    answer(c, handle, {.result = call_result::pending, .pending = count});
}

void decrement_pending(const context& c, const job_record& job)
{
    std::uint64_t& pending = c.s.scheduler.pending[job.spec.queue];
    pending -= pending > 0 ? 1 : 0;
}

std::uint32_t count_open_occurrences(const job_record& job)
{
    const auto is_open = [](const occurrence_record& o) {
        return o.is_started && o.unfinished_steps > 0;
    };
    return static_cast<std::uint32_t>(
        std::count_if(job.occurrences.begin(), job.occurrences.end(), is_open));
}

void stop_all_runs(const context& c, job_record& job)
{
    for (std::uint32_t k{0}; k < job.occurrences.size(); ++k) {
        auto& steps = job.occurrences[k].steps;
        for (std::uint32_t step{0}; step < steps.size(); ++step) {
            const ready_key key = ready_key_of(job, {job.spec.id, k, step, 0});
            c.s.scheduler.ready.erase(key);
            auto& tasks = steps[step].tasks;
            for (std::uint32_t i{0}; i < tasks.size(); ++i) {
                remove_waiting_service(c, {job.spec.id, k, step, i});
                if (tasks[i].current_run) {
                    stop_run(c, {job.spec.id, k, step, i}, *tasks[i].current_run);
                }
            }
        }
    }
}

/// Removes ended jobs whose retention time has passed.
void remove_expired_jobs(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    const millis retention = c.s.self.keep_ended + config::ended_job_grace;
    for (auto it = s.jobs.begin(); it != s.jobs.end();) {
        const job_record& job = it->second;
        const bool is_expired = job.has_ended() && !job.dirty && c.now - job.ended_at > retention;
        if (is_expired) {
            s.commits.jobs_to_remove.push_back(it->first);
            it = s.jobs.erase(it);
        }
        else {
            ++it;
        }
    }
}

} // namespace

std::vector<millis> times_to_end(const graph_job& job, const std::vector<millis>& run_times)
{
    std::vector<millis> times(job.steps.size());
    std::vector<millis> of_dependents(job.steps.size());
    // Dependent steps have higher numbers.
    for (std::size_t i{job.steps.size()}; i-- > 0;) {
        times[i] = run_times[i] + of_dependents[i];
        for (const std::uint32_t earlier : job.steps[i].after) {
            of_dependents[earlier] = std::max(of_dependents[earlier], times[i]);
        }
    }
    return times;
}

ready_key ready_key_of(const job_record& job, const graph_task_id& id)
{
    return {job.queue_settings.priority, job.deadline, id.job, id.occurrence, id.step};
}

task_ref find_task(central_state& s, const graph_task_id& id)
{
    const auto found = s.scheduler.jobs.find(id.job);
    if (found == s.scheduler.jobs.end()) {
        return {};
    }
    job_record& job = found->second;
    const bool known = id.occurrence < job.occurrences.size() &&
                       id.step < job.occurrences[id.occurrence].steps.size() &&
                       id.index < job.occurrences[id.occurrence].steps[id.step].tasks.size();
    if (!known) {
        return {};
    }
    occurrence_record& o = job.occurrences[id.occurrence];
    step_record& progress = o.steps[id.step];
    const image_number image = id.step < job.images.size() ? job.images[id.step] : 0;
    return {&job, &job.spec.steps[id.step], image, &o, &progress, &progress.tasks[id.index]};
}

job_record make_job(const graph_job& spec, const queue& queue_settings, instant submitted_at)
{
    job_record job;
    job.spec = spec;
    remove_repeated_dependencies(job.spec);
    job.queue_settings = queue_settings;
    job.submitted_at = submitted_at;
    job.idle_since = submitted_at;
    job.deadline = submitted_at + objective(spec, queue_settings);
    const std::uint32_t count = std::max(spec.repeats.count, 1U);
    job.occurrences.resize(count);
    job.unfinished_occurrences = count;
    job.max_open_occurrences = max_open_occurrences({spec, queue_settings, {}});
    for (std::uint32_t k{0}; k < count; ++k) {
        job.occurrences[k].due = spec.repeats.first_at + spec.repeats.interval * k;
    }
    return job;
}

void init_occurrence(job_record& job, std::uint32_t occurrence)
{
    occurrence_record& o = job.occurrences[occurrence];
    o.is_started = true;
    o.steps.resize(job.spec.steps.size());
    o.unfinished_steps = static_cast<std::uint32_t>(o.steps.size());
    for (std::size_t i{0}; i < o.steps.size(); ++i) {
        o.steps[i].tasks.resize(job.spec.steps[i].tasks);
        o.steps[i].unfinished = job.spec.steps[i].tasks;
        o.steps[i].unfinished_dependencies =
            static_cast<std::uint32_t>(job.spec.steps[i].after.size());
    }
}

void start_occurrence(const context& c, job_record& job, std::uint32_t occurrence)
{
    init_occurrence(job, occurrence);
    job.idle_since = c.now;
    const auto& steps = job.occurrences[occurrence].steps;
    for (std::uint32_t step{0}; step < steps.size(); ++step) {
        if (steps[step].unfinished_dependencies == 0) {
            mark_step_ready(c, job, occurrence, step);
        }
    }
}

void start_due_occurrences(const context& c, job_record& job)
{
    refresh_queue_settings(c, job);
    assign_image_numbers(c, job);
    std::uint32_t open = count_open_occurrences(job);
    for (std::uint32_t k{0}; k < job.occurrences.size(); ++k) {
        occurrence_record& o = job.occurrences[k];
        if (o.is_started) {
            continue;
        }
        if (o.due > c.wall_time) {
            c.s.scheduler.future_occurrences.emplace(o.due.count, job.spec.id, k);
            continue;
        }
        if (open >= job.max_open_occurrences) {
            // Started when an open one is finished.
            continue;
        }
        ++open;
        start_occurrence(c, job, k);
    }
}

void start_reported_occurrence(const context& c, const graph_task_id& id)
{
    const auto found = c.s.scheduler.jobs.find(id.job);
    if (found == c.s.scheduler.jobs.end() || found->second.has_ended()) {
        return;
    }
    job_record& job = found->second;
    const bool was_started_before =
        id.occurrence >= job.occurrences.size() || job.occurrences[id.occurrence].is_started;
    if (!was_started_before) {
        c.log("occurrence_started_before", {{"task", to_string(id)}});
        start_occurrence(c, job, id.occurrence);
        mark_changed(c, job);
    }
}

void mark_ready_steps(const context& c, job_record& job)
{
    for (std::uint32_t k{0}; k < job.occurrences.size(); ++k) {
        const auto& steps = job.occurrences[k].steps;
        for (std::uint32_t step{0}; step < steps.size(); ++step) {
            if (steps[step].unfinished_dependencies == 0) {
                mark_step_ready(c, job, k, step);
            }
        }
    }
}

void mark_task_ready(const context& c, const graph_task_id& id, task_ref ref)
{
    ref.task->status = task_status::ready;
    if (ref.progress->ready++ == 0) {
        c.s.scheduler.ready.insert(ready_key_of(*ref.job, id));
    }
    add_waiting_service(c, id, ref);
    c.s.scheduler.placement_due = true;
}

void unmark_task_ready(const context& c, const graph_task_id& id, task_ref ref)
{
    if (ref.task->status != task_status::ready) {
        return;
    }
    remove_waiting_service(c, id);
    if (--ref.progress->ready == 0) {
        c.s.scheduler.ready.erase(ready_key_of(*ref.job, id));
    }
}

void mark_job_started(const context& c, job_record& job)
{
    if (job.state != job_state::queued) {
        return;
    }
    decrement_pending(c, job);
    job.state = job_state::running;
    job.published_state = job_state::running;
}

void finish_task(const context& c, const graph_task_id& id, task_ref ref)
{
    unmark_task_ready(c, id, ref);
    ref.task->status = task_status::done;
    ref.task->checkpoint.clear();
    mark_job_started(c, *ref.job);
    mark_changed(c, *ref.job);
    if (--ref.progress->unfinished == 0) {
        finish_step(c, *ref.job, id.occurrence, id.step, ref.task->is_reconciled);
    }
}

void fail_task(const context& c, const graph_task_id& id, task_ref ref)
{
    mark_job_started(c, *ref.job);
    if (ref.step->is_service) {
        return;
    }
    ++ref.task->failures;
    mark_changed(c, *ref.job);
    if (ref.task->failures >= ref.job->queue_settings.max_attempts) {
        end_job(c, *ref.job, job_state::failed,
                absl::StrCat("task ", to_string(id), " failed ", ref.task->failures, " times"));
    }
}

void end_job(const context& c, job_record& job, job_state state, const std::string& cause)
{
    if (job.state == job_state::queued) {
        decrement_pending(c, job);
    }
    c.log("job_ended", {{"job", job.spec.id.value},
                        {"queue", job.spec.queue.value},
                        {"cause", cause},
                        {"age_ms", absl::StrCat((c.now - job.submitted_at).count)},
                        {"objective_ms", absl::StrCat((job.deadline - job.submitted_at).count)}});
    job.state = state;
    job.ended_at = c.now;
    stop_all_runs(c, job);
    mark_changed(c, job);
}

void answer_canceller(const context& c, call_handle handle, const job_record& job)
{
    const bool is_known = job.published_state != job_state::withdrawn;
    answer(c, handle, {.result = is_known ? call_result::cancelled : call_result::unknown_job});
}

void handle_call(const context& c, call_handle handle, const job_call& call)
{
    if (c.s.lease.current_role == role::loading) {
        c.s.scheduler.deferred_calls.emplace_back(handle, call);
        return;
    }
    switch (call.kind) {
    case call_kind::submit:
        submit(c, handle, call);
        break;
    case call_kind::query:
        query(c, handle, call);
        break;
    case call_kind::cancel:
        cancel(c, handle, call);
        break;
    case call_kind::count_pending:
        count_pending(c, handle, call);
        break;
    }
}

void check_jobs(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    while (!s.future_occurrences.empty() &&
           std::get<0>(*s.future_occurrences.begin()) <= c.wall_time.count) {
        const job_id id = std::get<1>(*s.future_occurrences.begin());
        s.future_occurrences.erase(s.future_occurrences.begin());
        const auto found = s.jobs.find(id);
        if (found != s.jobs.end() && !found->second.has_ended()) {
            start_due_occurrences(c, found->second);
            mark_changed(c, found->second);
        }
    }
    if (c.now >= s.next_cleanup_at) {
        s.next_cleanup_at = c.now + config::cleanup_period;
        remove_expired_jobs(c);
    }
}

} // namespace cuminmoor::central
