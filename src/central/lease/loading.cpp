/// \file
/// Loads jobs, progress, used runners and the disturbance model from the store after the lease was
/// won.
#include "central/parts.h"

#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"
#include "central/lease/handover.h"
#include "central/store/codec.h"
#include "central/store/row_parts.h"

namespace cuminmoor::central {

namespace {

table_scan* scan_of(loading_state& l, table table_id)
{
    switch (table_id) {
    case table::jobs:
        return &l.jobs;
    case table::progress:
        return &l.progress;
    case table::used_runners:
        return &l.used_runners;
    case table::disturbance:
        return &l.disturbance;
    default:
        return nullptr;
    }
}

/// The tables, in the order in which they are loaded.
constexpr std::array loaded_tables{table::jobs, table::progress, table::used_runners,
                                   table::disturbance};

/// Requests one page at a time: concurrent pages would share the link and delay each other.
void read_next_page(const context& c)
{
    loading_state& l = c.s.scheduler.loading;
    const auto* const next =
        std::find_if(loaded_tables.begin(), loaded_tables.end(),
                     [&l](table table_id) { return !scan_of(l, table_id)->is_complete; });
    if (next == loaded_tables.end()) {
        return;
    }
    table_scan& scan = *scan_of(l, *next);
    if (scan.in_flight || c.now < scan.retry_at) {
        return;
    }
    scan.in_flight = true;
    scan.requested_at = c.now;
    c.add(rows_read{*next, scan.next_key, l.page.rows(), config::page_timeout});
}

void mark_done(step_record& step)
{
    for (task_record& task : step.tasks) {
        task.status = task_status::done;
    }
}

/// Copies stored progress into the job's record.
void apply_progress(job_record& job, stored_progress progress)
{
    job.state = progress.state;
    job.published_state = progress.state;
    if (job.has_ended()) {
        job.occurrences.clear();
        return;
    }
    const std::size_t known = std::min(progress.occurrences.size(), job.occurrences.size());
    for (std::uint32_t k{0}; k < known; ++k) {
        const occurrence_record& stored = progress.occurrences[k];
        const bool is_readable =
            stored.steps.empty() || stored.steps.size() == job.spec.steps.size();
        if (!stored.is_started || !is_readable) {
            continue;
        }
        init_occurrence(job, k);
        occurrence_record& o = job.occurrences[k];
        for (std::size_t step{0}; step < o.steps.size(); ++step) {
            const bool is_finished = stored.steps.empty() || stored.steps[step].tasks.empty();
            if (is_finished) {
                mark_done(o.steps[step]);
                continue;
            }
            const auto& tasks = stored.steps[step].tasks;
            const std::size_t count = std::min(tasks.size(), o.steps[step].tasks.size());
            std::copy_n(tasks.begin(), count, o.steps[step].tasks.begin());
        }
    }
}

/// Recomputes the counters of unfinished tasks, steps and dependencies from the status of the
/// tasks. Every task that is not done becomes blocked, and so do those of services: a process of an
/// earlier version may have stored them as done.
void count_unfinished(occurrence_record& o, const graph_job& spec)
{
    o.unfinished_steps = 0;
    for (std::size_t i{0}; i < o.steps.size(); ++i) {
        step_record& step = o.steps[i];
        step.unfinished = 0;
        step.ready = 0;
        for (task_record& task : step.tasks) {
            if (task.status != task_status::done || spec.steps[i].is_service) {
                task.status = task_status::blocked;
                ++step.unfinished;
            }
        }
        o.unfinished_steps += step.unfinished > 0 ? 1 : 0;
    }
    for (std::size_t i{0}; i < o.steps.size(); ++i) {
        o.steps[i].unfinished_dependencies = 0;
        for (const std::uint32_t earlier : spec.steps[i].after) {
            o.steps[i].unfinished_dependencies += o.steps[earlier].unfinished > 0 ? 1 : 0;
        }
    }
}

job_record restore_job(const context& c, const stored_job& stored)
{
    const millis age = std::max(millis{0}, c.wall_time - stored.submitted_at);
    job_record job = make_job(stored.spec, stored.queue_settings, c.now - age);
    job.owner = stored.owner;
    job.stored = stored_part::job;
    job.recovered = true;
    // A process of an earlier version may have accepted it.
    job.max_open_occurrences = std::max(job.max_open_occurrences, 1U);
    return job;
}

/// \return the record of an ended job. The store keeps only its final state.
job_record restore_ended_job(const context& c, const std::string& id, job_state state)
{
    job_record job;
    job.spec.id.value = id;
    job.state = state;
    job.published_state = state;
    job.stored = stored_part::job_and_progress;
    job.ended_at = c.now;
    return job;
}

void restore_progress(const context& c, const std::string& id, const joined_value& stored)
{
    auto progress = decode_progress(stored.value);
    if (!progress.ok()) {
        c.log("progress_unreadable",
              {{"job", id}, {"reason", std::string{progress.status().message()}}});
        return;
    }
    auto& jobs = c.s.scheduler.jobs;
    const auto found = jobs.find(job_id{id});
    if (found == jobs.end()) {
        job_record& ended =
            jobs.emplace(job_id{id}, restore_ended_job(c, id, progress->state)).first->second;
        ended.progress_rows = stored.parts;
        return;
    }
    found->second.progress_rows = stored.parts;
    found->second.stored = stored_part::job_and_progress;
    found->second.ended_at = c.now;
    apply_progress(found->second, *std::move(progress));
}

/// Adds a runner that an earlier lease holder used. It is asked for its runs even when the registry
/// no longer lists it.
void restore_runner(const context& c, const std::string& id, const std::string& value)
{
    auto entry = decode_runner(value);
    if (!entry.ok()) {
        c.log("runner_unreadable",
              {{"runner", id}, {"reason", std::string{entry.status().message()}}});
        return;
    }
    auto [found, is_new] = c.s.scheduler.runners.try_emplace(runner_id{id});
    found->second.stored = true;
    if (is_new) {
        found->second.entry = *std::move(entry);
        found->second.listed = false;
        found->second.latency_rise_budget = config::initial_latency_rise_budget;
    }
    std::erase(c.s.scheduler.commits.runners_to_add, runner_id{id});
}

/// Restores the disturbance model; if it cannot be read, the scheduler starts with an empty one.
void restore_disturbance(const context& c, const std::string& value)
{
    auto learned_disturbance = decode_disturbance(value);
    if (learned_disturbance.ok()) {
        c.s.scheduler.learned_disturbance = *std::move(learned_disturbance);
    }
    else {
        c.log("disturbance_unreadable",
              {{"reason", std::string{learned_disturbance.status().message()}}});
    }
}

void restore_jobs(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    for (const auto& [id, row] : join_parts(s.loading.jobs.rows)) {
        auto stored = decode_stored_job(row.value);
        if (stored.ok()) {
            job_record& job = s.jobs.emplace(job_id{id}, restore_job(c, *stored)).first->second;
            job.spec_rows = row.parts;
        }
        else {
            c.log("job_unreadable",
                  {{"job", id}, {"reason", std::string{stored.status().message()}}});
        }
    }
    for (const auto& [id, row] : join_parts(s.loading.progress.rows)) {
        restore_progress(c, id, row);
    }
    for (const auto& [id, value] : s.loading.used_runners.rows) {
        restore_runner(c, id, value);
    }
    for (const auto& [key, value] : s.loading.disturbance.rows) {
        restore_disturbance(c, value);
    }
    s.loading = {};
}

void resume_job(const context& c, job_record& job)
{
    if (job.has_ended()) {
        return;
    }
    job.unfinished_occurrences = 0;
    for (std::uint32_t k{0}; k < job.occurrences.size(); ++k) {
        occurrence_record& o = job.occurrences[k];
        if (o.is_started) {
            count_unfinished(o, job.spec);
        }
        const bool unfinished = !o.is_started || o.unfinished_steps > 0;
        job.unfinished_occurrences += unfinished ? 1 : 0;
    }
    if (job.state == job_state::queued) {
        ++c.s.scheduler.pending[job.spec.queue];
    }
    add_owner(c, job);
    assign_image_numbers(c, job);
    mark_ready_steps(c, job);
    start_due_occurrences(c, job);
}

void begin_scheduling(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    restore_jobs(c);
    for (auto& [id, job] : s.jobs) {
        resume_job(c, job);
    }
    c.s.lease.current_role = role::scheduler;
    reread_ignored_entries(c);
    begin_recovery(c);
    s.placement_due = true;
    c.log("jobs_loaded",
          {{"term", absl::StrCat(c.s.lease.term.value)}, {"jobs", absl::StrCat(s.jobs.size())}});
    for (auto& [handle, call] : std::exchange(s.deferred_calls, {})) {
        handle_call(c, handle, call);
    }
}

} // namespace

void begin_loading(const context& c)
{
    c.add(watch_registry{true});
    c.s.scheduler.loading.last_progress_at = c.now;
    read_next_page(c);
}

void on_rows_read(const context& c, const rows_read_done& e)
{
    if (e.table_id == table::head) {
        const bool claims = c.s.lease.current_role == role::reading_head;
        claims ? on_head_read(c, e) : on_head_looked_up(c, e);
        return;
    }
    if (c.s.lease.current_role != role::loading) {
        return;
    }
    table_scan* const scan = scan_of(c.s.scheduler.loading, e.table_id);
    if (scan == nullptr) {
        return;
    }
    const bool is_older_than_claim = e.ok && e.as_of < c.s.scheduler.commits.head_version;
    if (is_older_than_claim) {
        // The page was requested in an earlier term; another holder may have written since.
        return;
    }
    scan->in_flight = false;
    page_size& page = c.s.scheduler.loading.page;
    if (!e.ok) {
        page.on_page_timeout();
        scan->retry_at = c.now + config::lease_retry;
        c.wake_by(scan->retry_at);
        return;
    }
    c.s.scheduler.loading.last_progress_at = c.now;
    for (const table_row& r : e.rows) {
        scan->rows[r.key] = r.value;
    }
    scan->is_complete = !e.has_more || e.rows.empty();
    if (!scan->is_complete) {
        page.on_page_received(e.rows.size(), c.now - scan->requested_at);
        scan->next_key = next_page_start(e.rows.back().key);
    }
    check_loading(c);
}

void check_loading(const context& c)
{
    if (c.s.lease.current_role != role::loading) {
        return;
    }
    const loading_state& l = c.s.scheduler.loading;
    const bool is_complete = l.jobs.is_complete && l.progress.is_complete &&
                             l.used_runners.is_complete && l.disturbance.is_complete;
    if (is_complete) {
        begin_scheduling(c);
    }
    else if (c.now - l.last_progress_at >= config::loading_timeout && !c.s.lease.releasing) {
        c.log("loading_given_up", {{"term", absl::StrCat(c.s.lease.term.value)},
                                   {"idle_ms", absl::StrCat((c.now - l.last_progress_at).count)}});
        begin_release(c);
    }
    else if (!c.s.lease.releasing) {
        read_next_page(c);
    }
}

} // namespace cuminmoor::central
