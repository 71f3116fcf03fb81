/// \file
/// Reading of the jobs when the lease was won.
#include "parts.h"

#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"
#include "codec.h"

namespace cuminmoor::central {

namespace {

table_reading* reading_of(loading_state& l, table where)
{
    switch (where) {
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

/// The tables in the order in which they are read.
constexpr std::array loaded_tables{table::jobs, table::progress, table::used_runners,
                                   table::disturbance};

/// One page at a time: pages that are under way at once would delay each other.
void read_next_page(const context& c)
{
    loading_state& l = c.s.scheduler.loading;
    const auto* const next =
        std::find_if(loaded_tables.begin(), loaded_tables.end(),
                     [&l](table where) { return !reading_of(l, where)->is_whole; });
    if (next == loaded_tables.end()) {
        return;
    }
    table_reading& reading = *reading_of(l, *next);
    if (reading.in_flight || c.now < reading.retry_at) {
        return;
    }
    reading.in_flight = true;
    reading.asked_at = c.now;
    c.add(rows_read{*next, reading.next_from, l.page.rows(), config::page_timeout});
}

/// Puts a job's stored progress into its record.
void apply_progress(job_record& job, stored_progress progress)
{
    job.state = progress.state;
    job.shown = progress.state;
    if (job.is_over()) {
        job.occurrences.clear();
        return;
    }
    const std::size_t known = std::min(progress.occurrences.size(), job.occurrences.size());
    for (std::uint32_t k{0}; k < known; ++k) {
        const occurrence_record& stored = progress.occurrences[k];
        if (!stored.begun || stored.steps.size() != job.spec.steps.size()) {
            continue;
        }
        make_occurrence(job, k);
        occurrence_record& o = job.occurrences[k];
        for (std::size_t step{0}; step < o.steps.size(); ++step) {
            const auto& tasks = stored.steps[step].tasks;
            const std::size_t count = std::min(tasks.size(), o.steps[step].tasks.size());
            std::copy_n(tasks.begin(), count, o.steps[step].tasks.begin());
        }
    }
}

/// Counts what is unfinished from the tasks' own status.
void count_unfinished(occurrence_record& o, const graph_job& spec)
{
    o.unfinished_steps = 0;
    for (step_record& step : o.steps) {
        step.unfinished = 0;
        step.ready = 0;
        for (task_record& task : step.tasks) {
            if (task.status != task_status::done) {
                task.status = task_status::blocked;
                ++step.unfinished;
            }
        }
        o.unfinished_steps += step.unfinished > 0 ? 1 : 0;
    }
    for (std::size_t i{0}; i < o.steps.size(); ++i) {
        o.steps[i].waits_for = 0;
        for (const std::uint32_t earlier : spec.steps[i].after) {
            o.steps[i].waits_for += o.steps[earlier].unfinished > 0 ? 1 : 0;
        }
    }
}

job_record restore(const context& c, const stored_job& stored)
{
    const millis age = std::max(millis{0}, c.wall - stored.submitted_at);
    job_record job = make_job(stored.spec, stored.treatment, c.now - age);
    job.stored = stored_part::job;
    job.recovered = true;
    return job;
}

/// A job that is over, of which only the outcome is kept.
job_record restore_ended(const context& c, const std::string& id, job_state state)
{
    job_record job;
    job.spec.id.value = id;
    job.state = state;
    job.shown = state;
    job.stored = stored_part::job_and_progress;
    job.ended_at = c.now;
    return job;
}

void restore_progress(const context& c, const std::string& id, const std::string& value)
{
    auto progress = decode_progress(value);
    if (!progress.ok()) {
        c.log("progress_unreadable",
              {{"job", id}, {"reason", std::string{progress.status().message()}}});
        return;
    }
    auto& jobs = c.s.scheduler.jobs;
    const auto found = jobs.find(job_id{id});
    if (found == jobs.end()) {
        jobs.emplace(job_id{id}, restore_ended(c, id, progress->state));
        return;
    }
    found->second.stored = stored_part::job_and_progress;
    found->second.ended_at = c.now;
    apply_progress(found->second, *std::move(progress));
}

/// A runner that an earlier holder used: it is asked what runs there, listed or not.
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

/// Without it the scheduler learns anew.
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

/// \return when all leases that an earlier holder gave have expired at the latest. It stops to
/// extend them when it could not renew its own for a while.
instant earlier_leases_end(const context& c)
{
    return c.s.lease.predecessor_seen_at + config::max_unrenewed + longest_lease(c.s);
}

void restore_jobs(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    for (const auto& [id, value] : s.loading.jobs.rows) {
        auto stored = decode_stored_job(value);
        if (stored.ok()) {
            s.jobs.emplace(job_id{id}, restore(c, *stored));
        }
        else {
            c.log("job_unreadable",
                  {{"job", id}, {"reason", std::string{stored.status().message()}}});
        }
    }
    for (const auto& [id, value] : s.loading.progress.rows) {
        restore_progress(c, id, value);
    }
    for (const auto& [id, value] : s.loading.used_runners.rows) {
        restore_runner(c, id, value);
    }
    for (const auto& [key, value] : s.loading.disturbance.rows) {
        restore_disturbance(c, value);
    }
    s.loading = {};
}

void resume(const context& c, job_record& job)
{
    if (job.is_over()) {
        return;
    }
    job.unfinished_occurrences = 0;
    for (std::uint32_t k{0}; k < job.occurrences.size(); ++k) {
        occurrence_record& o = job.occurrences[k];
        if (o.begun) {
            count_unfinished(o, job.spec);
        }
        const bool unfinished = !o.begun || o.unfinished_steps > 0;
        job.unfinished_occurrences += unfinished ? 1 : 0;
    }
    if (job.state == job_state::queued) {
        ++c.s.scheduler.pending[job.spec.queue];
    }
    assign_image_numbers(c, job);
    list_ready(c, job);
    begin_due_occurrences(c, job);
}

void begin_scheduling(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    restore_jobs(c);
    for (auto& [id, job] : s.jobs) {
        resume(c, job);
    }
    c.s.lease.now = role::scheduler;
    s.recovering = true;
    s.recovery_ends_by = earlier_leases_end(c);
    for (auto& [id, r] : s.runners) {
        r.leases_expire_by = s.recovery_ends_by;
    }
    s.placement_due = true;
    c.log("jobs_loaded",
          {{"term", absl::StrCat(c.s.lease.term.value)}, {"jobs", absl::StrCat(s.jobs.size())}});
    for (auto& [handle, call] : std::exchange(s.deferred, {})) {
        handle_call(c, handle, call);
    }
}

} // namespace

void begin_loading(const context& c)
{
    c.add(follow_register{true});
    c.s.scheduler.loading.progressed_at = c.now;
    read_next_page(c);
}

void on_rows_read(const context& c, const rows_read_done& e)
{
    if (e.where == table::head) {
        const bool claims = c.s.lease.now == role::reading_head;
        claims ? on_head_read(c, e) : on_head_looked_up(c, e);
        return;
    }
    if (c.s.lease.now != role::loading) {
        return;
    }
    table_reading* const reading = reading_of(c.s.scheduler.loading, e.where);
    if (reading == nullptr) {
        return;
    }
    const bool is_older_than_claim = e.ok && e.as_of < c.s.scheduler.commits.head_version;
    if (is_older_than_claim) {
        // Asked for in an earlier term; others may have written since.
        return;
    }
    reading->in_flight = false;
    page_size& page = c.s.scheduler.loading.page;
    if (!e.ok) {
        page.note_failure();
        reading->retry_at = c.now + config::lease_retry;
        c.wake(reading->retry_at);
        return;
    }
    c.s.scheduler.loading.progressed_at = c.now;
    for (const table_row& r : e.rows) {
        reading->rows[r.key] = r.value;
    }
    reading->is_whole = !e.has_more || e.rows.empty();
    if (!reading->is_whole) {
        page.note_page(e.rows.size(), c.now - reading->asked_at);
        reading->next_from = first_key_after(e.rows.back().key);
    }
    check_loading(c);
}

void check_loading(const context& c)
{
    if (c.s.lease.now != role::loading) {
        return;
    }
    const loading_state& l = c.s.scheduler.loading;
    const bool is_whole =
        l.jobs.is_whole && l.progress.is_whole && l.used_runners.is_whole && l.disturbance.is_whole;
    if (is_whole) {
        begin_scheduling(c);
    }
    else if (c.now - l.progressed_at >= config::loading_patience && !c.s.lease.releasing) {
        c.log("loading_given_up", {{"term", absl::StrCat(c.s.lease.term.value)},
                                   {"idle_ms", absl::StrCat((c.now - l.progressed_at).count)}});
        begin_release(c);
    }
    else {
        read_next_page(c);
    }
}

} // namespace cuminmoor::central
