/// \file
/// Writes changed jobs to the store, one transaction at a time with many jobs in each.
///
/// Every transaction rewrites the head row and requires its previous version. A transaction of an
/// earlier term, or one that is executed late, therefore fails and changes nothing.
#include "central/parts.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "central/store/codec.h"
#include "central/store/row_parts.h"

namespace cuminmoor::central {

namespace {

const table_key head_key{table::head, "newest"};
const table_key disturbance_key{table::disturbance, "learned"};

/// \return the size of a change in the body of a transaction.
std::size_t sent_bytes(const row_change& change)
{
    constexpr std::size_t decoded_group{3};
    constexpr std::size_t encoded_group{4};
    const std::size_t value = change.value ? change.value->size() : 0;
    const std::size_t encoded = (value + decoded_group - 1) / decoded_group * encoded_group;
    return config::row_overhead_bytes + change.row.key.size() + encoded;
}

/// Adds changes to a commit if the store's limits allow that.
/// \return false if they do not, and nothing was added.
bool add_changes(open_commit& commit, const std::vector<row_change>& changes)
{
    std::size_t bytes = commit.bytes;
    for (const row_change& each : changes) {
        bytes += sent_bytes(each);
    }
    auto& rows = commit.body.changes;
    // The head row alone: what exceeds the limits by itself must be tried by itself.
    const bool is_first = rows.size() == 1;
    const bool fits = rows.size() + changes.size() <= config::max_rows_per_commit &&
                      bytes <= config::max_commit_bytes;
    if (!is_first && !fits) {
        return false;
    }
    rows.insert(rows.end(), changes.begin(), changes.end());
    commit.bytes = bytes;
    return true;
}

/// Adds a changed job to a commit.
/// \return false if the commit has no room for it.
bool add_job(const context& c, open_commit& commit, job_record& job)
{
    const table_key spec_key{table::jobs, job.spec.id.value};
    const table_key progress_key{table::progress, job.spec.id.value};
    committed_job added{job.spec.id, job.state, job.last_change, job.spec_rows, job.progress_rows};
    std::vector<row_change> changes;
    if (job.stored == stored_part::nothing && !job.has_ended()) {
        const millis submitted_at = c.wall_time - (c.now - job.submitted_at);
        const std::string spec =
            encode_job({job.spec, job.queue_settings, submitted_at, job.owner});
        append_parts(changes, spec_key, spec, job.spec_rows);
        added.spec_rows = part_count(spec);
    }
    else {
        const std::string progress = encode_progress(job);
        append_parts(changes, progress_key, progress, job.progress_rows);
        added.progress_rows = part_count(progress);
    }
    if (job.has_ended() && job.stored != stored_part::nothing) {
        append_removal(changes, spec_key, job.spec_rows);
        added.spec_rows = 0;
    }
    if (!add_changes(commit, changes)) {
        return false;
    }
    job.dirty = false;
    commit.jobs.push_back(std::move(added));
    return true;
}

/// \return the number of the newest change up to which all changes are in commits.
std::uint64_t last_covered_change(const commit_state& commits)
{
    std::uint64_t covered = commits.last_change;
    for (const auto& [id, first_change] : commits.changed_jobs) {
        covered = std::min(covered, first_change - 1);
    }
    return covered;
}

void add_jobs(const context& c, open_commit& commit)
{
    scheduler_state& s = c.s.scheduler;
    auto& changed_jobs = s.commits.changed_jobs;
    while (!changed_jobs.empty() && commit.jobs.size() < s.commits.max_jobs) {
        const auto found = s.jobs.find(changed_jobs.front().first);
        if (found != s.jobs.end() && !add_job(c, commit, found->second)) {
            break;
        }
        changed_jobs.pop_front();
    }
    commit.last_covered_change = last_covered_change(s.commits);
}

void add_removals(const context& c, open_commit& commit)
{
    auto& jobs_to_remove = c.s.scheduler.commits.jobs_to_remove;
    while (!jobs_to_remove.empty() &&
           commit.jobs.size() + commit.removed_jobs.size() < config::max_jobs_per_commit) {
        // The progress of an ended job takes one row.
        const table_key key{table::progress, jobs_to_remove.back().value};
        if (!add_changes(commit, {{key, std::nullopt}})) {
            return;
        }
        commit.removed_jobs.push_back(jobs_to_remove.back());
        jobs_to_remove.pop_back();
    }
}

void add_used_runners(const context& c, open_commit& commit)
{
    scheduler_state& s = c.s.scheduler;
    while (!s.commits.runners_to_add.empty()) {
        const runner_id id = s.commits.runners_to_add.back();
        const auto found = s.runners.find(id);
        if (found != s.runners.end()) {
            const table_key key{table::used_runners, id.value};
            if (!add_changes(commit, {{key, encode_runner(found->second.entry)}})) {
                return;
            }
            commit.runners.push_back(id);
        }
        s.commits.runners_to_add.pop_back();
    }
}

void remove_used_runners(const context& c, open_commit& commit)
{
    scheduler_state& s = c.s.scheduler;
    while (!s.commits.runners_to_remove.empty()) {
        const runner_id id = s.commits.runners_to_remove.back();
        if (!s.runners.contains(id)) {
            if (!add_changes(commit, {{{table::used_runners, id.value}, std::nullopt}})) {
                return;
            }
            commit.removed_runners.push_back(id);
        }
        s.commits.runners_to_remove.pop_back();
    }
}

/// Adds the disturbance model at most once per `disturbance_store_period`. The stored copy may be
/// outdated: it is only the initial model of the next lease holder.
void add_disturbance(const context& c, open_commit& commit)
{
    scheduler_state& s = c.s.scheduler;
    const bool is_due = c.now >= s.disturbance_stored_at + config::disturbance_store_period;
    if (!is_due || s.learned_disturbance.images.size() > config::max_stored_images) {
        return;
    }
    std::string learned = encode_disturbance(s.learned_disturbance);
    if (learned.size() <= config::max_row_bytes &&
        add_changes(commit, {{disturbance_key, std::move(learned)}})) {
        s.disturbance_stored_at = c.now;
    }
}

void send_open_commit(const context& c)
{
    commit_state& commits = c.s.scheduler.commits;
    commits.open->resend_pending = false;
    commits.sent_at = c.now;
    c.add(commits.open->body);
}

/// \return true when a caller waits for a change that is not in a commit yet.
bool has_waiting_caller(const scheduler_state& s)
{
    if (s.commits.changed_jobs.empty()) {
        return false;
    }
    const auto has_waiting_call = [&s](const auto& entry) {
        const auto found = s.jobs.find(entry.first);
        return found != s.jobs.end() &&
               (!found->second.submitters.empty() || !found->second.cancellers.empty());
    };
    return std::any_of(s.commits.changed_jobs.begin(), s.commits.changed_jobs.end(),
                       has_waiting_call);
}

void begin_commit(const context& c)
{
    commit_state& commits = c.s.scheduler.commits;
    open_commit commit;
    commit.body.purpose = commit_purpose::progress;
    commit.body.number = ++commits.last_commit_number;
    commit.body.preconditions.push_back({head_key, commits.head_version});
    commit.body.changes.push_back({head_key, encode_head({c.s.lease.term, commit.body.number})});
    add_jobs(c, commit);
    add_removals(c, commit);
    add_used_runners(c, commit);
    remove_used_runners(c, commit);
    add_disturbance(c, commit);
    commit.begun_at = c.now;
    c.wake_by(c.now + config::max_wait_for_store);
    commits.open = std::move(commit);
    send_open_commit(c);
}

void on_job_stored(const context& c, job_record& job, job_state stored_state)
{
    const bool is_new = job.stored == stored_part::nothing;
    const bool was_over = is_final(stored_state);
    job.stored = is_new && !was_over ? stored_part::job : stored_part::job_and_progress;
    if (stored_state != job_state::withdrawn) {
        for (const call_handle handle : std::exchange(job.submitters, {})) {
            answer(c, handle, {.result = call_result::accepted});
        }
    }
    if (was_over) {
        job.published_state = stored_state;
        for (const call_handle handle : std::exchange(job.cancellers, {})) {
            answer_canceller(c, handle, job);
        }
    }
    if (is_new && !job.has_ended()) {
        c.log("job_accepted",
              {{"job", job.spec.id.value},
               {"queue", job.spec.queue.value},
               {"manifest", absl::StrCat(c.s.operators.newest.version)},
               {"steps", absl::StrCat(job.spec.steps.size())},
               {"stored_after_ms", absl::StrCat((c.now - job.submitted_at).count)}});
        start_due_occurrences(c, job);
    }
}

void on_commit_stored(const context& c, row_version version)
{
    scheduler_state& s = c.s.scheduler;
    const open_commit commit = *std::exchange(s.commits.open, std::nullopt);
    s.commits.head_version = version;
    s.commits.stored_change = commit.last_covered_change;
    s.commits.failing_since.reset();
    s.commits.max_jobs = std::min(s.commits.max_jobs * 2, config::max_jobs_per_commit);
    for (const committed_job& each : commit.jobs) {
        const auto found = s.jobs.find(each.job);
        if (found != s.jobs.end()) {
            found->second.stored_change = each.last_change;
            found->second.spec_rows = each.spec_rows;
            found->second.progress_rows = each.progress_rows;
            on_job_stored(c, found->second, each.state);
        }
    }
    for (const runner_id& id : commit.runners) {
        const auto found = s.runners.find(id);
        if (found != s.runners.end()) {
            found->second.stored = true;
            s.placement_due = true;
        }
    }
    acknowledge_stored_ends(c);
    order_stored_starts(c);
    send_commit(c);
}

/// Puts the changes of a commit that certainly did not take effect back at the front of the queue.
void requeue_changes(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    const open_commit commit = *std::exchange(s.commits.open, std::nullopt);
    for (auto it = commit.jobs.rbegin(); it != commit.jobs.rend(); ++it) {
        const auto found = s.jobs.find(it->job);
        if (found == s.jobs.end()) {
            continue;
        }
        if (found->second.dirty) {
            // The job changed again in the meantime. Its first change that is not stored is in this
            // commit, so the later entry is replaced.
            std::erase_if(s.commits.changed_jobs,
                          [&](const auto& changed) { return changed.first == it->job; });
        }
        found->second.dirty = true;
        s.commits.changed_jobs.emplace_front(it->job, s.commits.stored_change + 1);
    }
    const auto put_back = [](auto& line, const auto& items) {
        line.insert(line.end(), items.begin(), items.end());
    };
    put_back(s.commits.jobs_to_remove, commit.removed_jobs);
    put_back(s.commits.runners_to_add, commit.runners);
    put_back(s.commits.runners_to_remove, commit.removed_runners);
}

void on_commit_refused(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    s.commits.retry_at = c.now + config::commit_retry;
    c.wake_by(s.commits.retry_at);
    if (!s.commits.failing_since) {
        s.commits.failing_since = c.now;
    }
    if (s.commits.open->may_still_apply) {
        s.commits.open->resend_pending = true;
        return;
    }
    const bool give_up = c.now - *s.commits.failing_since >= config::max_commit_failure_time;
    requeue_changes(c);
    if (give_up) {
        reject_unstored_jobs(c);
    }
}

/// Moves the first changed job, whose commit was invalid by itself, behind the others.
/// \param may_still_apply an earlier attempt to send the commit may still take effect.
void postpone_first_job(const context& c, bool may_still_apply)
{
    scheduler_state& s = c.s.scheduler;
    auto& changed_jobs = s.commits.changed_jobs;
    if (changed_jobs.empty()) {
        return;
    }
    const auto postponed = changed_jobs.front();
    changed_jobs.pop_front();
    const auto found = s.jobs.find(postponed.first);
    if (found == s.jobs.end()) {
        return;
    }
    const bool is_unstored = found->second.stored == stored_part::nothing && !may_still_apply;
    if (is_unstored && refuse_unstored_job(c, found->second)) {
        s.jobs.erase(found);
        return;
    }
    changed_jobs.push_back(postponed);
}

/// Handles a commit that the store would reject again: its jobs go into smaller ones.
void on_commit_invalid(const context& c)
{
    commit_state& commits = c.s.scheduler.commits;
    const std::size_t jobs = commits.open->jobs.size();
    const bool may_still_apply = commits.open->may_still_apply;
    c.log("commit_invalid", {{"number", absl::StrCat(commits.open->body.number)},
                             {"jobs", absl::StrCat(jobs)},
                             {"rows", absl::StrCat(commits.open->body.changes.size())},
                             {"bytes", absl::StrCat(commits.open->bytes)}});
    commits.max_jobs = std::max<std::size_t>(jobs / 2, 1);
    commits.retry_at = c.now + config::commit_retry;
    c.wake_by(commits.retry_at);
    requeue_changes(c);
    if (jobs == 1) {
        postpone_first_job(c, may_still_apply);
    }
}

void read_back_head(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    s.commits.open->lookup_in_flight = true;
    s.commits.open->may_still_apply = true;
    s.commits.retry_at = c.now + config::commit_retry;
    c.add(rows_read{table::head, ""});
}

} // namespace

void mark_changed(const context& c, job_record& job)
{
    commit_state& commits = c.s.scheduler.commits;
    job.last_change = ++commits.last_change;
    if (!job.dirty) {
        job.dirty = true;
        commits.changed_jobs.emplace_back(job.spec.id, commits.last_change);
    }
}

void send_commit(const context& c)
{
    if (!c.is_scheduler()) {
        return;
    }
    scheduler_state& s = c.s.scheduler;
    commit_state& commits = s.commits;
    if (c.now < commits.retry_at) {
        c.wake_by(commits.retry_at);
        return;
    }
    if (commits.open) {
        if (commits.open->resend_pending) {
            send_open_commit(c);
        }
        return;
    }
    // While commits fail, one without changes shows when the store is back: new jobs are refused
    // until then.
    const bool is_idle = !commits.failing_since && commits.changed_jobs.empty() &&
                         commits.jobs_to_remove.empty() && commits.runners_to_add.empty() &&
                         commits.runners_to_remove.empty();
    if (is_idle) {
        return;
    }
    const instant due = commits.sent_at + config::min_commit_interval;
    if (c.now < due && !has_waiting_caller(s)) {
        c.wake_by(due);
        return;
    }
    begin_commit(c);
}

void on_progress_committed(const context& c, const rows_committed& e)
{
    commit_state& commits = c.s.scheduler.commits;
    if (!c.is_scheduler() || !commits.open || commits.open->body.number != e.number) {
        return;
    }
    switch (e.outcome) {
    case store_outcome::ok:
        on_commit_stored(c, e.version);
        break;
    case store_outcome::unavailable:
        on_commit_refused(c);
        break;
    case store_outcome::invalid:
        on_commit_invalid(c);
        break;
    case store_outcome::unknown:
        read_back_head(c);
        break;
    case store_outcome::conflict:
        if (commits.open->may_still_apply) {
            read_back_head(c);
        }
        else {
            step_down(c, "commit conflict: another VM wrote the head row");
        }
        break;
    }
}

void on_head_looked_up(const context& c, const rows_read_done& e)
{
    commit_state& commits = c.s.scheduler.commits;
    if (!c.is_scheduler() || !commits.open || !commits.open->lookup_in_flight) {
        return;
    }
    if (!e.ok) {
        commits.open->lookup_in_flight = false;
        commits.open->resend_pending = true;
        commits.retry_at = c.now + config::commit_retry;
        c.wake_by(commits.retry_at);
        return;
    }
    commits.open->lookup_in_flight = false;
    for (const table_row& r : e.rows) {
        const auto row = decode_head(r.value);
        if (r.key != head_key.key || !row.ok()) {
            continue;
        }
        if (row->term != c.s.lease.term) {
            step_down(c, "the head row holds a commit of another term");
            return;
        }
        if (row->commit == commits.open->body.number) {
            on_commit_stored(c, r.version);
            return;
        }
    }
    commits.open->resend_pending = true;
    commits.retry_at = c.now;
    send_commit(c);
}

} // namespace cuminmoor::central
