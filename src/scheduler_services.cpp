/// \file
/// Latency-critical service tasks: each failure domain in service runs its share of each service.
///
/// The share is computed from the configuration and from the failure domains that have workers, so
/// the schedulers need not coordinate. The tasks belong to a job that never ends, named
/// `service.<service>.<failure domain>`; a task that exits is restarted.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "scheduler_parts.h"

namespace cuminmoor {

namespace {

constexpr const char* service_prefix = "service.";

/// \return the failure domains that are in service and have live workers, sorted.
std::vector<failure_domain_id> domains_in_service(const context& c)
{
    std::set<failure_domain_id> found;
    for (const auto& [id, vm] : c.s.membership.vms) {
        if (vm.role == vm_role::worker && vm.phase == vm_phase::live &&
            c.s.configuration.current.is_in_service(vm.failure_domain)) {
            found.insert(vm.failure_domain);
        }
    }
    return {found.begin(), found.end()};
}

/// \return the share of this failure domain in `tasks` tasks.
std::uint32_t own_share(const context& c, std::uint32_t tasks,
                        const std::vector<failure_domain_id>& domains)
{
    const auto own = std::find(domains.begin(), domains.end(), c.s.self.failure_domain);
    if (own == domains.end()) {
        return 0;
    }
    const auto count = static_cast<std::uint32_t>(domains.size());
    const auto position = static_cast<std::uint32_t>(own - domains.begin());
    return tasks / count + (position < tasks % count ? 1 : 0);
}

job_spec spec_of(const context& c, const service_spec& service, std::uint32_t share)
{
    job_spec spec;
    spec.id.value =
        absl::StrCat(service_prefix, service.id.value, ".", c.s.self.failure_domain.value);
    spec.team = service.team;
    spec.kind = work_class::latency_critical;
    spec.tasks = std::min(share, config::max_tasks_per_job);
    spec.task_size = service.task_size;
    spec.command = absl::StrCat("service ", service.id.value);
    return spec;
}

void resize_service(const context& c, commit_draft& d, const job_spec& desired)
{
    const auto& job_ledger = c.s.scheduler.job_ledger;
    const auto job = job_ledger.jobs.find(desired.id);
    const bool is_up_to_date = job == job_ledger.jobs.end()
                                   ? desired.tasks == 0
                                   : job->second.spec.tasks == desired.tasks &&
                                         job->second.spec.task_size == desired.task_size;
    const bool has_name_conflict = job != job_ledger.jobs.end() && !job->second.is_service;
    const auto first_changed = d.changed_tasks.lower_bound({desired.id, 0});
    const bool is_changed =
        first_changed != d.changed_tasks.end() && first_changed->job == desired.id;
    if (is_up_to_date || has_name_conflict || is_changed || d.changed_jobs.contains(desired.id)) {
        return;
    }
    d.changed_jobs.insert(desired.id);
    d.records.emplace_back(service_sized{desired});
}

} // namespace

void collect_services(context& c, commit_draft& d)
{
    const auto& job_ledger = c.s.scheduler.job_ledger;
    const auto& services = c.s.configuration.current.services;
    const auto first = job_ledger.jobs.lower_bound({service_prefix});
    const bool has_jobs =
        first != job_ledger.jobs.end() && first->first.value.starts_with(service_prefix);
    if (!c.s.membership.has_list || (services.empty() && !has_jobs)) {
        return;
    }
    std::set<job_id> known;
    const auto domains = domains_in_service(c);
    for (const auto& [id, service] : services) {
        const job_spec desired = spec_of(c, service, own_share(c, service.tasks, domains));
        known.insert(desired.id);
        resize_service(c, d, desired);
    }
    for (auto at = first;
         at != job_ledger.jobs.end() && at->first.value.starts_with(service_prefix); ++at) {
        if (at->second.is_service && !known.contains(at->first)) {
            job_spec removed = at->second.spec;
            removed.tasks = 0;
            resize_service(c, d, removed);
        }
    }
}

} // namespace cuminmoor
