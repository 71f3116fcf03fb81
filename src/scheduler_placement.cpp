/// \file
/// Choosing which waiting tasks start where.
#include "fair_share.h"
#include "scheduler_parts.h"
#include "scheduler_policy.h"

namespace cuminmoor {

namespace {

/// A worker that may start tasks now, with what is committed on it.
struct open_worker {
    vm_id id;
    const worker_state* state{nullptr};
    resources committed;
    /// Decisions of this commit included. Set when it is first asked for: it is dear, and in a full
    /// failure domain nobody asks.
    std::optional<worker_mix> mix;
};

worker_mix& mix_on(const ledger& book, open_worker& w)
{
    if (!w.mix) {
        w.mix = mix_of(book, w.id);
    }
    return *w.mix;
}

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
        open.push_back(
            {id, &w, share == s.book.committed.end() ? resources{} : share->second, std::nullopt});
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

void add_to_mix(worker_mix& mix, const job_spec& job, const resources& size)
{
    if (job.kind == work_class::latency_critical) {
        ++mix.services[class_of(job)];
    }
    else {
        mix.batch_cores[class_of(job)] += cores_of(size);
    }
}

double predict_rise(const interference_model& model, const worker_mix& mix, const job_spec& job,
                    const resources& size)
{
    return job.kind == work_class::latency_critical
               ? model.rise_met(mix, class_of(job))
               : model.rise_caused(mix, class_of(job), cores_of(size));
}

/// \return true when an attempt on that worker failed and others are left to try.
bool is_to_be_avoided(const task_entry& task, const vm_id& worker,
                      const std::vector<open_worker>& open)
{
    return task.failed_on.size() < open.size() && task.failed_on.contains(worker);
}

bool is_class_running(const ledger& book, std::vector<open_worker>& open,
                      const std::string& job_class)
{
    return std::any_of(open.begin(), open.end(), [&](open_worker& w) {
        return mix_on(book, w).batch_cores.contains(job_class);
    });
}

enum class placed : std::uint8_t { yes, no_room, waits };

placed place(context& c, commit_draft& d, const queue_key& key, std::vector<open_worker>& open)
{
    const auto& book = c.s.scheduler.book;
    const auto& job = book.jobs.at(key.task.job);
    const auto& task = job.tasks.at(key.task.index);
    const auto& size = job.spec.task_size;
    std::vector<placement_candidate> candidates;
    std::vector<open_worker*> workers;
    for (auto& w : open) {
        const auto& last = w.state->last;
        if ((w.committed + size).fits(last.capacity) && !is_to_be_avoided(task, w.id, open)) {
            candidates.push_back(
                {w.id, last.rack, last.capacity, w.committed,
                 predict_rise(c.s.scheduler.interference, mix_on(book, w), job.spec, size)});
            workers.push_back(&w);
        }
    }
    if (candidates.empty()) {
        return placed::no_room;
    }
    const placement_question question{job.spec, weights_of(c.s.configuration.current.active_preset),
                                      is_class_running(book, open, class_of(job.spec))};
    const auto chosen = c.policies.placement->choose(question, candidates);
    if (!chosen || *chosen >= workers.size()) {
        return placed::waits;
    }
    assign(c, d, key.task, task, size, *workers[*chosen]);
    add_to_mix(mix_on(book, *workers[*chosen]), job.spec, size);
    return placed::yes;
}

/// A size that found no place in this commit; nothing as large needs to be tried.
struct refusal {
    resources size;
    /// Class that it holds for; empty: all.
    std::string job_class;
};

std::unique_ptr<waiting_order> make_queue(const context& c, const std::vector<open_worker>& open)
{
    const auto& book = c.s.scheduler.book;
    if (!c.policies.has_fair_shares) {
        return std::make_unique<admission_order>(book);
    }
    resources total;
    for (const auto& w : open) {
        total += w.state->last.capacity;
    }
    return std::make_unique<fair_share_order>(book, c.s.configuration.current, total);
}

bool is_hopeless(const std::vector<refusal>& refused, const job_spec& job)
{
    return std::any_of(refused.begin(), refused.end(), [&job](const refusal& r) {
        return r.size.fits(job.task_size) && (r.job_class.empty() || r.job_class == class_of(job));
    });
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
    std::vector<refusal> refused;
    std::size_t examined = 0;
    const auto queue = make_queue(c, open);
    while (const auto key = queue->next()) {
        if (d.is_full() || ++examined > config::max_waiting_examined) {
            return;
        }
        const auto& job = s.book.jobs.at(key->task.job).spec;
        if (!d.is_free(key->task) || is_hopeless(refused, job)) {
            continue;
        }
        const bool may_go_anywhere = find_task(s.book, key->task)->failed_on.empty();
        const placed result = place(c, d, *key, open);
        if (result == placed::yes) {
            queue->note_placed(*key);
        }
        else if (may_go_anywhere) {
            refused.push_back(
                {job.task_size, result == placed::waits ? class_of(job) : std::string{}});
        }
    }
}

} // namespace cuminmoor
