/// \file
/// Processing of the inbox: commits submissions, moved tasks and cancellations to the log.
#include "cuminmoor/inbox.h"

#include "scheduler_parts.h"

namespace cuminmoor {

namespace {

void read_inbox(context& c)
{
    auto& in = c.s.scheduler.inbox;
    const auto& fd = c.s.self.failure_domain;
    in.scan_token = c.s.scheduler.next_token++;
    in.scan_generation = in.generation;
    in.unchecked.clear();
    store_read read{{store_user::scheduler, in.scan_token}, {}, {}};
    for (const auto& prefix :
         {inbox_job_prefix(fd), inbox_move_prefix(fd), inbox_cancel_prefix(fd)}) {
        read.ranges.push_back({prefix, "", config::inbox_scan_limit});
    }
    c.out.add(std::move(read));
}

std::size_t count_rows(const std::vector<row>& rows, const std::string& prefix)
{
    std::size_t n = 0;
    for (const auto& row : rows) {
        n += row.key.starts_with(prefix) ? 1 : 0;
    }
    return n;
}

/// Reads the summary rows of the submitted jobs, to detect jobs that were admitted before and since
/// removed from the ledger.
/// \return false if there are no submissions and so nothing to read.
bool read_summaries(context& c)
{
    auto& in = c.s.scheduler.inbox;
    const auto& fd = c.s.self.failure_domain;
    const std::string prefix = inbox_job_prefix(fd);
    store_read read{{store_user::scheduler, c.s.scheduler.next_token}, {}, {}};
    for (const auto& row : in.unchecked) {
        if (row.key.starts_with(prefix)) {
            read.keys.push_back(job_summary_key({row.key.substr(prefix.size())}, fd));
        }
    }
    if (read.keys.empty()) {
        return false;
    }
    in.scan_token = c.s.scheduler.next_token++;
    c.out.add(std::move(read));
    return true;
}

void finish_scan(context& c)
{
    auto& in = c.s.scheduler.inbox;
    in.rows = std::exchange(in.unchecked, {});
    in.scan_token = 0;
    if (in.truncated) {
        in.next_scan = c.now;
    }
}

void on_submissions_read(context& c, const store_read_done& e)
{
    auto& in = c.s.scheduler.inbox;
    const auto& fd = c.s.self.failure_domain;
    in.unchecked = e.rows;
    in.already_admitted.clear();
    in.truncated = false;
    for (const auto& prefix :
         {inbox_job_prefix(fd), inbox_move_prefix(fd), inbox_cancel_prefix(fd)}) {
        in.truncated = in.truncated || count_rows(e.rows, prefix) >= config::inbox_scan_limit;
    }
    if (!read_summaries(c)) {
        finish_scan(c);
    }
}

void on_summaries_read(context& c, const store_read_done& e)
{
    auto& in = c.s.scheduler.inbox;
    const std::string end = "/" + c.s.self.failure_domain.value;
    for (const auto& row : e.rows) {
        const std::size_t begin = job_summary_prefix({}).size() - 1;
        in.already_admitted.insert({row.key.substr(begin, row.key.size() - begin - end.size())});
    }
    finish_scan(c);
}

/// Deletes the row in the same commit that applies its content.
void consume_row(commit_draft& d, const row& r)
{
    d.consumes_inbox_rows = true;
    d.extra.preconditions.push_back({r.key, r.version});
    d.extra.writes.push_back({r.key, std::nullopt});
}

void reject_row(context& c, commit_draft& d, const row& r, const char* counter)
{
    c.s.counters.add(counter);
    consume_row(d, r);
}

void write_first_summary(context& c, commit_draft& d, const job_admitted& admitted)
{
    job_entry job;
    job.spec = admitted.spec;
    job.submitted_at_s = admitted.submitted_at_s;
    job.totals.in(task_phase::waiting) = admitted.spec.tasks;
    const auto& fd = c.s.self.failure_domain;
    d.extra.writes.push_back(
        {job_summary_key(job.spec.id, fd), encode_job_summary(summarize(job, fd))});
}

void admit_job(context& c, commit_draft& d, const row& r)
{
    const auto submission = decode_inbox_job(r.value);
    if (!submission.ok()) {
        reject_row(c, d, r, "scheduler.inbox_malformed");
        return;
    }
    const auto& s = c.s.scheduler;
    const job_id& id = submission->spec.id;
    if (s.job_ledger.jobs.contains(id) || s.inbox.already_admitted.contains(id) ||
        d.changed_jobs.contains(id)) {
        reject_row(c, d, r, "scheduler.inbox_duplicate");
        return;
    }
    const job_admitted admitted{submission->spec, submission->submitted_at_s};
    write_first_summary(c, d, admitted);
    d.changed_jobs.insert(id);
    d.records.emplace_back(admitted);
    consume_row(d, r);
}

void accept_move(context& c, commit_draft& d, const row& r)
{
    const auto move = decode_inbox_move(r.value);
    if (!move.ok()) {
        reject_row(c, d, r, "scheduler.inbox_malformed");
        return;
    }
    if (!d.is_unchanged(move->task)) {
        return;
    }
    const auto* const task = find_task(c.s.scheduler.job_ledger, move->task);
    if (task != nullptr && task->phase != task_phase::moved) {
        reject_row(c, d, r, "scheduler.inbox_duplicate");
        return;
    }
    d.add(move->task, *move);
    consume_row(d, r);
}

/// Forwards the cancellation to the failure domains that tasks of the job were moved to.
void forward_cancellation(context& c, commit_draft& d, const job_entry& job)
{
    for (const auto& fd : job.moved_to) {
        const inbox_cancel cancellation{job.spec.id, next_nonce(c)};
        d.extra.writes.push_back(
            {inbox_cancel_key(fd, job.spec.id), encode_inbox_cancel(cancellation)});
    }
}

bool is_job_changed(const commit_draft& d, const job_id& job)
{
    const auto at = d.changed_tasks.lower_bound({job, 0});
    return d.changed_jobs.contains(job) || (at != d.changed_tasks.end() && at->job == job);
}

void apply_cancellation(context& c, commit_draft& d, const row& r)
{
    const auto cancellation = decode_inbox_cancel(r.value);
    if (!cancellation.ok()) {
        reject_row(c, d, r, "scheduler.inbox_malformed");
        return;
    }
    // A job that changes in this commit is cancelled in the next one.
    if (is_job_changed(d, cancellation->job)) {
        return;
    }
    const auto& s = c.s.scheduler;
    const auto job = s.job_ledger.jobs.find(cancellation->job);
    if (job == s.job_ledger.jobs.end()) {
        if (!s.inbox.truncated) {
            reject_row(c, d, r, "scheduler.inbox_cancel_unknown_job");
        }
        return;
    }
    consume_row(d, r);
    if (job->second.cancelled) {
        return;
    }
    d.changed_jobs.insert(job->first);
    d.records.emplace_back(job_cancelled{job->first});
    forward_cancellation(c, d, job->second);
}

using row_handler = void (*)(context&, commit_draft&, const row&);

void process_rows(context& c, commit_draft& d, const std::string& prefix, row_handler handle)
{
    for (const auto& row : c.s.scheduler.inbox.rows) {
        if (d.is_full()) {
            return;
        }
        if (row.key.starts_with(prefix)) {
            handle(c, d, row);
        }
    }
}

} // namespace

void drive_inbox(context& c)
{
    auto& s = c.s.scheduler;
    if (!s.recovered || !is_lease_valid(c) || s.inbox.scan_token != 0 ||
        c.now < s.inbox.next_scan || !s.inbox.rows.empty()) {
        return;
    }
    s.inbox.next_scan = c.now + config::inbox_poll;
    read_inbox(c);
}

void on_inbox_rows(context& c, const store_read_done& e)
{
    auto& in = c.s.scheduler.inbox;
    if (in.scan_token == 0 || e.token.number != in.scan_token) {
        return;
    }
    const bool is_inbox_read = in.unchecked.empty();
    if (!e.ok || in.scan_generation != in.generation) {
        c.s.counters.add(e.ok ? "scheduler.inbox_scan_stale" : "scheduler.inbox_scan_failed");
        in.scan_token = 0;
        in.unchecked.clear();
        return;
    }
    if (is_inbox_read) {
        on_submissions_read(c, e);
        return;
    }
    on_summaries_read(c, e);
}

void collect_inbox(context& c, commit_draft& d)
{
    const auto& fd = c.s.self.failure_domain;
    process_rows(c, d, inbox_job_prefix(fd), admit_job);
    process_rows(c, d, inbox_move_prefix(fd), accept_move);
    process_rows(c, d, inbox_cancel_prefix(fd), apply_cancellation);
}

} // namespace cuminmoor
