/// \file
/// Latency-critical tasks of services: each failure domain in service keeps its share running.
///
/// The share follows from the configuration and from which failure domains have workers, so that
/// the holders need no agreement among each other. The tasks are those of a job that never ends,
/// `service.<service>.<failure domain>`; a task that ends by itself is started again.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "scheduler_parts.h"

namespace cuminmoor {

namespace {

constexpr const char* service_prefix = "service.";

/// \return failure domains with live workers that are in service, in order.
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

/// \return how many of `tasks` are the own failure domain's.
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

void size_service(const context& c, commit_draft& d, const job_spec& wanted)
{
    const auto& book = c.s.scheduler.book;
    const auto job = book.jobs.find(wanted.id);
    const bool is_as_wanted = job == book.jobs.end()
                                  ? wanted.tasks == 0
                                  : job->second.spec.tasks == wanted.tasks &&
                                        job->second.spec.task_size == wanted.task_size;
    const bool is_taken = job != book.jobs.end() && !job->second.is_service;
    const auto touched = d.touched.lower_bound({wanted.id, 0});
    const bool is_touched = touched != d.touched.end() && touched->job == wanted.id;
    if (is_as_wanted || is_taken || is_touched || d.touched_jobs.contains(wanted.id)) {
        return;
    }
    d.touched_jobs.insert(wanted.id);
    d.records.emplace_back(service_sized{wanted});
}

} // namespace

void collect_services(context& c, commit_draft& d)
{
    const auto& book = c.s.scheduler.book;
    const auto& services = c.s.configuration.current.services;
    const auto first = book.jobs.lower_bound({service_prefix});
    const bool has_jobs =
        first != book.jobs.end() && first->first.value.starts_with(service_prefix);
    if (!c.s.membership.has_list || (services.empty() && !has_jobs)) {
        return;
    }
    std::set<job_id> known;
    const auto domains = domains_in_service(c);
    for (const auto& [id, service] : services) {
        const job_spec wanted = spec_of(c, service, own_share(c, service.tasks, domains));
        known.insert(wanted.id);
        size_service(c, d, wanted);
    }
    for (auto at = first; at != book.jobs.end() && at->first.value.starts_with(service_prefix);
         ++at) {
        if (at->second.is_service && !known.contains(at->first)) {
            job_spec unwanted = at->second.spec;
            unwanted.tasks = 0;
            size_service(c, d, unwanted);
        }
    }
}

} // namespace cuminmoor
