/// \file
/// Inputs of the policies: workload mix of a worker and updates of the interference model.
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

workload_mix workload_mix_of(const ledger& job_ledger, const vm_id& worker)
{
    workload_mix mix;
    const auto tasks = job_ledger.tasks_by_worker.find(worker);
    if (tasks == job_ledger.tasks_by_worker.end()) {
        return mix;
    }
    for (const auto& id : tasks->second) {
        const auto& spec = job_ledger.jobs.at(id.job).spec;
        if (spec.kind == work_class::latency_critical) {
            ++mix.services[class_of(spec)];
        }
        else {
            mix.batch_cores[class_of(spec)] += cores_of(spec.task_size);
        }
    }
    return mix;
}

void update_interference(context& c, const vm_id& worker, const worker_report& report)
{
    auto& s = c.s.scheduler;
    workload_mix mix;
    for (const auto& t : report.tasks) {
        if (t.p99_us <= 0 || t.status != task_status::running ||
            find_assignment(s.job_ledger, t.task, t.attempt, worker) == nullptr) {
            continue;
        }
        if (mix.services.empty()) {
            mix = workload_mix_of(s.job_ledger, worker);
        }
        s.interference.update(class_of(s.job_ledger.jobs.at(t.task.job).spec),
                              static_cast<double>(t.p99_us), mix.batch_cores);
    }
}

} // namespace cuminmoor
