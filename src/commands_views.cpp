/// \file
/// Answers that need nothing but this process's memory.
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

/// Counts of one failure domain's listed VMs.
struct domain_counts {
    int entry_vms{0};
    int workers{0};
    int runners{0};
};

void count(domain_counts& counts, vm_role role)
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

/// \return the newest heartbeat of the scheduler's holder in `fd`, or null.
const peer_heartbeat* holder_beat(const context& c, const failure_domain_id& fd)
{
    for (const auto& [id, peer] : c.s.membership.peers) {
        if (peer.last.failure_domain == fd && peer.last.is_holder) {
            return &peer.last;
        }
    }
    return nullptr;
}

/// Adds holder and task counts, as far as they are known under the configuration in force.
void add_scheduler(const context& c, const failure_domain_id& fd, json& line)
{
    const auto& own = c.s.scheduler;
    if (fd == c.s.self.failure_domain && own.lease.role == lease_role::holder && own.recovered) {
        line["holder"] = c.s.self.vm.value;
        line["running"] = count_assigned(own.job_ledger);
        line["waiting"] = own.job_ledger.waiting.size();
        return;
    }
    const auto* beat = holder_beat(c, fd);
    if (beat == nullptr) {
        return;
    }
    line["holder"] = beat->from.value;
    // Counts from before the newest change would call a failure domain empty that is not.
    if (beat->version >= c.s.configuration.current.version) {
        line["running"] = beat->assigned_tasks;
        line["waiting"] = beat->waiting_tasks;
    }
}

json domains_view(const context& c)
{
    std::map<failure_domain_id, domain_counts> domains;
    for (const auto& [id, vm] : c.s.membership.vms) {
        auto& counts = domains[vm.failure_domain];
        if (vm.phase != vm_phase::gone) {
            count(counts, vm.role);
        }
    }
    json list = json::array();
    for (const auto& [fd, counts] : domains) {
        json line{{"failure_domain", fd.value},
                  {"in_service", c.s.configuration.current.is_in_service(fd)},
                  {"entry_vms", counts.entry_vms},
                  {"workers", counts.workers},
                  {"runners", counts.runners}};
        add_scheduler(c, fd, line);
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
    const auto& own = c.s.scheduler;
    return {{"vm", c.s.self.vm.value},
            {"failure_domain", c.s.self.failure_domain.value},
            {"stopping", c.s.stopping},
            {"version", c.s.configuration.current.version.value},
            {"preset", cuminmoor::name_of(c.s.configuration.current.active_preset)},
            {"confirmed_age_ms", (c.now - c.s.configuration.confirmed_at).count},
            {"peers", c.s.membership.peers.size()},
            {"open_requests", c.s.requests.open.size()},
            {"lease_role", name_of(own.lease.role)},
            {"holder", own.lease.seen.holder.value},
            {"epoch", own.lease.seen.epoch.value},
            {"last_log_index", own.lease.seen.last.value},
            {"running", count_assigned(own.job_ledger)},
            {"waiting", own.job_ledger.waiting.size()},
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
