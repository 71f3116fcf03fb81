/// \file
/// Learning from the workers' reports.
#include "scheduler_policy.h"

namespace cuminmoor {

const std::string& class_of(const job_spec& job)
{
    return job.job_class.empty() ? job.team.value : job.job_class;
}

double cores_of(const resources& size)
{
    return static_cast<double>(size.milli_cores) / 1'000;
}

worker_mix mix_of(const ledger& book, const vm_id& worker)
{
    worker_mix mix;
    const auto tasks = book.on_worker.find(worker);
    if (tasks == book.on_worker.end()) {
        return mix;
    }
    for (const auto& id : tasks->second) {
        const auto& spec = book.jobs.at(id.job).spec;
        if (spec.kind == work_class::latency_critical) {
            ++mix.services[class_of(spec)];
        }
        else {
            mix.batch_cores[class_of(spec)] += cores_of(spec.task_size);
        }
    }
    return mix;
}

void learn_from_report(context& c, const vm_id& worker, const worker_report& report)
{
    auto& s = c.s.scheduler;
    worker_mix mix;
    for (const auto& t : report.tasks) {
        if (t.p99_us <= 0 || t.status != task_status::running ||
            find_assignment(s.book, t.task, t.attempt, worker) == nullptr) {
            continue;
        }
        if (mix.services.empty()) {
            mix = mix_of(s.book, worker);
        }
        s.interference.learn(class_of(s.book.jobs.at(t.task.job).spec),
                             static_cast<double>(t.p99_us), mix.batch_cores);
    }
}

} // namespace cuminmoor
