/// \file
/// Choosing which waiting tasks start where.
#include "scheduler_parts.h"

namespace cuminmoor {

namespace {

/// A worker that may start tasks now, with what is committed on it.
struct open_worker {
    vm_id id;
    const worker_state* state{nullptr};
    resources committed;
};

std::vector<open_worker> open_workers(const context& c)
{
    const auto& s = c.s.scheduler;
    std::vector<open_worker> open;
    for (const auto& [id, w] : s.workers) {
        if (!w.may_start || c.s.membership.leaving.contains(id) || !w.has_report || w.has_stray ||
            w.failed_syncs > 0 || c.now - w.received_at > config::max_report_age) {
            continue;
        }
        const auto share = s.book.committed.find(id);
        open.push_back({id, &w, share == s.book.committed.end() ? resources{} : share->second});
    }
    return open;
}

void assign(context& c, commit_draft& d, const task_id& id, const task_entry& task,
            const resources& size, open_worker& on)
{
    const instant deadline = c.now + config::start_validity;
    task_assigned record;
    record.task = id;
    record.attempt = task.attempts + 1;
    record.worker = on.id;
    record.incarnation = on.state->last.incarnation;
    record.size = size;
    record.capacity = on.state->last.capacity;
    record.start_before = on.state->last.clock + (deadline - on.state->received_at);
    on.committed += size;
    d.assigns = true;
    d.add(id, std::move(record));
}

/// \return true when an attempt on that worker failed and others are left to try.
bool is_to_be_avoided(const task_entry& task, const vm_id& worker,
                      const std::vector<open_worker>& open)
{
    return task.failed_on.size() < open.size() && task.failed_on.contains(worker);
}

/// \return false when no worker takes the task now.
bool place(context& c, commit_draft& d, const queue_key& key, std::vector<open_worker>& open)
{
    const auto& job = c.s.scheduler.book.jobs.at(key.task.job);
    const auto& task = job.tasks.at(key.task.index);
    const auto& size = job.spec.task_size;
    std::vector<placement_candidate> candidates;
    std::vector<open_worker*> workers;
    for (auto& w : open) {
        const auto& last = w.state->last;
        if ((w.committed + size).fits(last.capacity) && !is_to_be_avoided(task, w.id, open)) {
            candidates.push_back({w.id, last.rack, last.capacity, w.committed});
            workers.push_back(&w);
        }
    }
    if (candidates.empty()) {
        return false;
    }
    const auto chosen = c.policies.placement->choose(job.spec, size, candidates);
    if (!chosen || *chosen >= workers.size()) {
        return false;
    }
    assign(c, d, key.task, task, size, *workers[*chosen]);
    return true;
}

bool is_hopeless(const std::vector<resources>& refused, const resources& size)
{
    return std::any_of(refused.begin(), refused.end(),
                       [&size](const resources& r) { return r.fits(size); });
}

} // namespace

void collect_placement(context& c, commit_draft& d)
{
    const auto& s = c.s.scheduler;
    if (s.book.waiting.empty() || c.s.configuration.head_row == 0 ||
        !c.s.configuration.current.is_in_service(c.s.self.failure_domain)) {
        return;
    }
    auto open = open_workers(c);
    // Sizes that found no place in this commit; nothing as large needs to be tried.
    std::vector<resources> refused;
    std::size_t examined = 0;
    for (const auto& key : s.book.waiting) {
        if (d.is_full() || ++examined > config::max_waiting_examined) {
            return;
        }
        const auto& size = s.book.jobs.at(key.task.job).spec.task_size;
        if (!d.is_free(key.task) || is_hopeless(refused, size)) {
            continue;
        }
        const bool may_go_anywhere = find_task(s.book, key.task)->failed_on.empty();
        if (!place(c, d, key, open) && may_go_anywhere) {
            refused.push_back(size);
        }
    }
}

} // namespace cuminmoor
