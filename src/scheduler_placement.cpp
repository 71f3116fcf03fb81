/// \file
/// Placement of waiting tasks on workers.
#include "fair_share.h"
#include "scheduler_parts.h"
#include "scheduler_policy.h"

namespace cuminmoor {

namespace {

/// A worker that can accept tasks now.
struct eligible_worker {
    vm_id id;
    const worker_state* state{nullptr};
    /// Resources reserved on the worker, including decisions of this commit.
    resources committed;
    /// Workload mix, including decisions of this commit. Computed on first use: it is expensive and
    /// never needed in a full failure domain.
    std::optional<workload_mix> mix;
};

workload_mix& mix_for(const ledger& job_ledger, eligible_worker& w)
{
    if (!w.mix) {
        w.mix = workload_mix_of(job_ledger, w.id);
    }
    return *w.mix;
}

std::vector<eligible_worker> eligible_workers(const context& c)
{
    const auto& s = c.s.scheduler;
    std::vector<eligible_worker> eligible;
    for (const auto& [id, w] : s.workers) {
        if (!w.is_schedulable || c.s.membership.leaving.contains(id) || !w.has_report ||
            w.has_unassigned_attempt || w.failed_syncs > 0 ||
            c.now - w.received_at > config::max_report_age) {
            continue;
        }
        const auto share = s.job_ledger.committed.find(id);
        eligible.push_back({id, &w,
                            share == s.job_ledger.committed.end() ? resources{} : share->second,
                            std::nullopt});
    }
    return eligible;
}

void assign(context& c, commit_draft& d, const task_id& id, const task_entry& task,
            const resources& size, eligible_worker& worker)
{
    const instant deadline = c.now + config::start_validity;
    task_assigned record;
    record.task = id;
    record.attempt = task.attempts + 1;
    record.worker = worker.id;
    record.incarnation = worker.state->last.incarnation;
    record.size = size;
    record.capacity = worker.state->last.capacity;
    record.start_before = worker.state->last.clock + (deadline - worker.state->received_at);
    worker.committed += size;
    d.has_assignments = true;
    d.add(id, std::move(record));
}

void add_to_mix(workload_mix& mix, const job_spec& job, const resources& size)
{
    if (job.kind == work_class::latency_critical) {
        ++mix.services[class_of(job)];
    }
    else {
        mix.batch_cores[class_of(job)] += cores_of(size);
    }
}

double predict_latency_rise(const interference_model& model, const workload_mix& mix,
                            const job_spec& job, const resources& size)
{
    return job.kind == work_class::latency_critical
               ? model.latency_rise_of_service(mix, class_of(job))
               : model.latency_rise_from_batch(mix, class_of(job), cores_of(size));
}

/// \return true if an attempt of the task failed on the worker and there are untried workers.
bool should_avoid(const task_entry& task, const vm_id& worker,
                  const std::vector<eligible_worker>& eligible)
{
    return task.failed_on.size() < eligible.size() && task.failed_on.contains(worker);
}

bool is_class_running(const ledger& job_ledger, std::vector<eligible_worker>& eligible,
                      const std::string& job_class)
{
    return std::any_of(eligible.begin(), eligible.end(), [&](eligible_worker& w) {
        return mix_for(job_ledger, w).batch_cores.contains(job_class);
    });
}

enum class placement_outcome : std::uint8_t { placed, no_room, deferred };

placement_outcome place_task(context& c, commit_draft& d, const queue_key& key,
                             std::vector<eligible_worker>& eligible)
{
    const auto& job_ledger = c.s.scheduler.job_ledger;
    const auto& job = job_ledger.jobs.at(key.task.job);
    const auto& task = job.tasks.at(key.task.index);
    const auto& size = job.spec.task_size;
    std::vector<placement_candidate> candidates;
    std::vector<eligible_worker*> workers;
    for (auto& w : eligible) {
        const auto& last = w.state->last;
        if ((w.committed + size).fits(last.capacity) && !should_avoid(task, w.id, eligible)) {
            candidates.push_back({w.id, last.rack, last.capacity, w.committed,
                                  predict_latency_rise(c.s.scheduler.interference,
                                                       mix_for(job_ledger, w), job.spec, size)});
            workers.push_back(&w);
        }
    }
    if (candidates.empty()) {
        return placement_outcome::no_room;
    }
    const placement_request request{job.spec,
                                    parameters_of(c.s.configuration.current.active_preset),
                                    is_class_running(job_ledger, eligible, class_of(job.spec))};
    const auto chosen = c.policies.placement->choose(request, candidates);
    if (!chosen || *chosen >= workers.size()) {
        return placement_outcome::deferred;
    }
    assign(c, d, key.task, task, size, *workers[*chosen]);
    add_to_mix(mix_for(job_ledger, *workers[*chosen]), job.spec, size);
    return placement_outcome::placed;
}

/// A task size that could not be placed in this commit. Tasks of at least this size are skipped.
struct rejected_size {
    resources size;
    /// Class that the rejection applies to; empty: all.
    std::string job_class;
};

std::unique_ptr<waiting_order> make_queue(const context& c,
                                          const std::vector<eligible_worker>& eligible)
{
    const auto& job_ledger = c.s.scheduler.job_ledger;
    if (!c.policies.uses_fair_share) {
        return std::make_unique<admission_order>(job_ledger);
    }
    resources total;
    for (const auto& w : eligible) {
        total += w.state->last.capacity;
    }
    return std::make_unique<fair_share_order>(job_ledger, c.s.configuration.current, total);
}

bool was_rejected(const std::vector<rejected_size>& rejected, const job_spec& job)
{
    return std::any_of(rejected.begin(), rejected.end(), [&job](const rejected_size& r) {
        return r.size.fits(job.task_size) && (r.job_class.empty() || r.job_class == class_of(job));
    });
}

} // namespace

void collect_placement(context& c, commit_draft& d)
{
    const auto& s = c.s.scheduler;
    if (s.job_ledger.waiting.empty() || c.s.configuration.head_row_version == 0 ||
        !c.s.configuration.current.is_in_service(c.s.self.failure_domain)) {
        return;
    }
    auto eligible = eligible_workers(c);
    std::vector<rejected_size> rejected;
    std::size_t examined = 0;
    const auto queue = make_queue(c, eligible);
    while (const auto key = queue->next()) {
        if (d.is_full() || ++examined > config::max_waiting_examined) {
            return;
        }
        const auto& job = s.job_ledger.jobs.at(key->task.job).spec;
        if (!d.is_unchanged(key->task) || was_rejected(rejected, job)) {
            continue;
        }
        const bool is_unrestricted = find_task(s.job_ledger, key->task)->failed_on.empty();
        const placement_outcome result = place_task(c, d, *key, eligible);
        if (result == placement_outcome::placed) {
            queue->on_placed(*key);
        }
        else if (is_unrestricted) {
            rejected.push_back({job.task_size, result == placement_outcome::deferred
                                                   ? class_of(job)
                                                   : std::string{}});
        }
    }
}

} // namespace cuminmoor
