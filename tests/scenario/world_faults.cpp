/// \file
/// Fault injection, and actions of operators and job owners.
#include "cuminmoor/config.h"
#include "cuminmoor/inbox.h"
#include "scenario/world.h"

namespace cuminmoor::scenario {

void world::update_list()
{
    schedule(now_ + list_lag, [this, list = actual_vms_] { listed_vms_ = list; });
}

void world::add_entry_vm(const std::string& name)
{
    auto& vm = vms[name];
    for (const auto& [counter, n] : vm.s.counters.all()) {
        replaced_process_counters_[counter] += n;
    }
    vm = {};
    vm.incarnation = next_incarnation_++;
    vm.s.self = {{name}, {name.substr(0, 1)}, random_()};
    vm.s.scheduler.switches = switches_;
    vm.clock_offset = millis{static_cast<std::int64_t>(random_() % 1'000'000'000)};
    actual_vms_[{name}] = {
        {name}, vm_role::entry, vm_phase::live, {name.substr(0, 1)}, "127.0.0.1:1", "127.0.0.1:2",
        {}};
    update_list();
    schedule(now_ + delay(100),
             [this, name, incarnation = vm.incarnation] { tick_vm(name, incarnation); });
}

void world::add_domain(const std::string& fd, int entry_vms, int worker_count)
{
    for (int i = 1; i <= worker_count; ++i) {
        const std::string name = fd + "w" + std::to_string(i);
        workers[name].clock_offset = millis{static_cast<std::int64_t>(random_() % 1'000'000'000)};
        workers[name].restart(now_);
        actual_vms_[{name}] = {{name}, vm_role::worker, vm_phase::live, {fd}, "127.0.0.1:1", "",
                               {}};
    }
    for (int i = 1; i <= entry_vms; ++i) {
        add_entry_vm(fd + std::to_string(i));
    }
    listed_vms_ = actual_vms_;
}

void world::kill(const std::string& vm)
{
    if (!vms.contains(vm)) {
        return;
    }
    vms[vm].alive = false;
    actual_vms_.erase({vm});
    update_list();
}

void world::stop(const std::string& vm)
{
    if (vms.contains(vm)) {
        deliver(vm, vms[vm].incarnation, shutdown_requested{});
    }
}

void world::freeze(const std::string& name)
{
    if (vms.contains(name)) {
        vms[name].frozen = true;
    }
    else {
        frozen_workers_.insert(name);
    }
}

void world::thaw(const std::string& name)
{
    if (frozen_workers_.erase(name) != 0 && workers.contains(name)) {
        workers[name].resume_at(now_);
        const auto deferred = std::exchange(deferred_syncs_, {});
        for (const auto& f : deferred) {
            if (f.worker.value == name) {
                (void)sync_worker(f, now_);
            }
            else {
                deferred_syncs_.push_back(f);
            }
        }
    }
    if (!vms.contains(name) || !vms[name].frozen) {
        return;
    }
    auto& vm = vms[name];
    vm.frozen = false;
    send_all(name, vm.incarnation, std::exchange(vm.deferred_effects, {}));
    const auto events = std::exchange(vm.deferred_events, {});
    for (const auto& e : events) {
        deliver(name, vm.incarnation, e);
    }
}

void world::restart_worker(const std::string& worker)
{
    if (workers.contains(worker)) {
        workers[worker].restart(now_);
    }
}

void world::end_worker(const std::string& worker)
{
    workers.erase(worker);
    frozen_workers_.erase(worker);
    actual_vms_.erase({worker});
    update_list();
}

void world::leave(const std::string& worker)
{
    const auto listed = actual_vms_.find({worker});
    if (listed != actual_vms_.end()) {
        listed->second.phase = vm_phase::leaving;
        check.on_leaving(worker, now_);
        update_list();
    }
}

std::optional<row_version> world::apply(const transaction& t)
{
    std::set<std::string> existing;
    for (const auto& w : t.writes) {
        if (table.value_of(w.key)) {
            existing.insert(w.key);
        }
    }
    const auto revision = table.commit(t);
    if (revision) {
        check.on_commit(existing, t, now_);
    }
    return revision;
}

void world::change(const configuration_change& change)
{
    const auto head = table.read({{}, {config_head_key}, {}});
    if (head.empty()) {
        return;
    }
    const config_version next{decode_config_head(head.front().value)->value + 1};
    (void)apply({{{config_head_key, head.front().version}},
                 {{config_head_key, encode_config_head(next)},
                  {change_key(next), encode_change_row({change, {"operator"}})}}});
}

void world::submit(const std::string& job, const std::string& fd, std::uint32_t tasks, millis run,
                   std::int64_t cores)
{
    job_spec spec;
    spec.id = {job};
    spec.team = {"kente"};
    spec.tasks = tasks;
    spec.task_size = {cores * 1'000, 1'024, 0};
    spec.run_time = run;
    spec.command = "run " + std::to_string(run.count);
    const std::string key = inbox_job_key({fd}, spec.id);
    (void)apply({{{key, 0}}, {{key, encode_inbox_job({spec, 1, {"owner"}})}}});
}

void world::cancel(const std::string& job, const std::string& fd)
{
    (void)apply({{}, {{inbox_cancel_key({fd}, {job}), encode_inbox_cancel({{job}, {"owner"}})}}});
}

void world::heal()
{
    fault = store_fault::none;
    sync_delay = {};
    const auto frozen = frozen_workers_;
    for (const auto& name : frozen) {
        thaw(name);
    }
    for (auto& [name, worker] : workers) {
        worker.fails_all_attempts = false;
    }
    for (auto& [name, vm] : vms) {
        vm.cut_store = vm.cut_peers = vm.cut_workers = vm.cut_configuration = false;
        thaw(name);
    }
}

std::string world::leader(const std::string& fd) const
{
    for (const auto& [name, vm] : vms) {
        const auto& s = vm.s.scheduler;
        if (vm.alive && !vm.frozen && vm.s.self.failure_domain.value == fd &&
            s.lease.role == lease_role::holder && local(vm) < s.lease.valid_until) {
            return name;
        }
    }
    return {};
}

std::map<std::string, std::uint64_t> world::counters() const
{
    auto sum = replaced_process_counters_;
    for (const auto& [name, vm] : vms) {
        for (const auto& [counter, n] : vm.s.counters.all()) {
            sum[counter] += n;
        }
    }
    return sum;
}

} // namespace cuminmoor::scenario
