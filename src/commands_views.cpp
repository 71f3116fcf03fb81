/// \file
/// Command answers that are built from in-memory state only.
#include "commands_internal.h"
#include "cuminmoor/config.h"

namespace cuminmoor {

namespace {

using nlohmann::json;

const char* name_of(vm_role role)
{
    switch (role) {
    case vm_role::entry:
        return "entry";
    case vm_role::worker:
        return "worker";
    default:
        return "runner";
    }
}

const char* name_of(lease_role role)
{
    switch (role) {
    case lease_role::observer:
        return "observer";
    case lease_role::acquiring:
        return "acquiring";
    default:
        return "holder";
    }
}

const char* phase_of(const context& c, const vm_entry& vm)
{
    if (vm.phase == vm_phase::gone) {
        return "gone";
    }
    const bool is_leaving = vm.phase == vm_phase::leaving || c.s.membership.leaving.contains(vm.id);
    return is_leaving ? "leaving" : "live";
}

/// Number of listed VMs in one failure domain, by role.
struct domain_counts {
    int entry_vms{0};
    int workers{0};
    int runners{0};
};

void add_vm(domain_counts& counts, vm_role role)
{
    switch (role) {
    case vm_role::entry:
        ++counts.entry_vms;
        break;
    case vm_role::worker:
        ++counts.workers;
        break;
    case vm_role::runner:
        ++counts.runners;
        break;
    }
}

/// \return the newest heartbeat of the scheduler lease holder in `fd`, or null.
const peer_heartbeat* find_holder_heartbeat(const context& c, const failure_domain_id& fd)
{
    for (const auto& [id, peer] : c.s.membership.peers) {
        if (peer.last.failure_domain == fd && peer.last.is_holder) {
            return &peer.last;
        }
    }
    return nullptr;
}

/// Adds the lease holder and, if known for the current configuration version, the task counts.
void add_scheduler_status(const context& c, const failure_domain_id& fd, json& line)
{
    const auto& scheduler = c.s.scheduler;
    if (fd == c.s.self.failure_domain && scheduler.lease.role == lease_role::holder &&
        scheduler.recovered) {
        line["holder"] = c.s.self.vm.value;
        line["running"] = count_assigned(scheduler.job_ledger);
        line["waiting"] = scheduler.job_ledger.waiting.size();
        return;
    }
    const auto* heartbeat = find_holder_heartbeat(c, fd);
    if (heartbeat == nullptr) {
        return;
    }
    line["holder"] = heartbeat->from.value;
    // Counts from before the newest change could report a failure domain as empty although it is
    // not.
    if (heartbeat->version >= c.s.configuration.current.version) {
        line["running"] = heartbeat->assigned_tasks;
        line["waiting"] = heartbeat->waiting_tasks;
    }
}

json domains_view(const context& c)
{
    std::map<failure_domain_id, domain_counts> domains;
    for (const auto& [id, vm] : c.s.membership.vms) {
        auto& counts = domains[vm.failure_domain];
        if (vm.phase != vm_phase::gone) {
            add_vm(counts, vm.role);
        }
    }
    json list = json::array();
    for (const auto& [fd, counts] : domains) {
        json line{{"failure_domain", fd.value},
                  {"in_service", c.s.configuration.current.is_in_service(fd)},
                  {"entry_vms", counts.entry_vms},
                  {"workers", counts.workers},
                  {"runners", counts.runners}};
        add_scheduler_status(c, fd, line);
        list.push_back(std::move(line));
    }
    return list;
}

} // namespace

json configuration_view(const context& c)
{
    json view = configuration_to_json(c.s.configuration.current);
    view["confirmed_age_ms"] = (c.now - c.s.configuration.confirmed_at).count;
    return view;
}

json status_view(const context& c)
{
    const auto& scheduler = c.s.scheduler;
    return {{"vm", c.s.self.vm.value},
            {"failure_domain", c.s.self.failure_domain.value},
            {"stopping", c.s.stopping},
            {"version", c.s.configuration.current.version.value},
            {"preset", cuminmoor::name_of(c.s.configuration.current.active_preset)},
            {"confirmed_age_ms", (c.now - c.s.configuration.confirmed_at).count},
            {"peers", c.s.membership.peers.size()},
            {"open_requests", c.s.requests.open.size()},
            {"lease_role", name_of(scheduler.lease.role)},
            {"holder", scheduler.lease.seen.holder.value},
            {"epoch", scheduler.lease.seen.epoch.value},
            {"last_log_index", scheduler.lease.seen.last.value},
            {"running", count_assigned(scheduler.job_ledger)},
            {"waiting", scheduler.job_ledger.waiting.size()},
            {"domains", domains_view(c)}};
}

json vms_view(const context& c)
{
    json list = json::array();
    for (const auto& [id, vm] : c.s.membership.vms) {
        list.push_back({{"id", id.value},
                        {"role", name_of(vm.role)},
                        {"phase", phase_of(c, vm)},
                        {"failure_domain", vm.failure_domain.value},
                        {"http", vm.http_address},
                        {"service", vm.service.value}});
    }
    return {{"vms", std::move(list)}};
}

} // namespace cuminmoor
