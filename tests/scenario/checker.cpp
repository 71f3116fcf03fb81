/// \file
/// Checks of the protocol invariants.
#include "scenario/checker.h"

#include <algorithm>
#include <variant>

namespace cuminmoor::scenario {

void checker::fail(std::string what)
{
    if (violation_.empty()) {
        violation_ = std::move(what);
    }
}

void checker::record_final_phase(const task_id& id, task_phase phase)
{
    if (!final_phases_.emplace(id, phase).second) {
        fail(to_string(id) + " has ended twice");
    }
}

void checker::on_record(const failure_domain_id& fd, const ledger_record& record)
{
    if (const auto* const r = std::get_if<job_admitted>(&record)) {
        for (std::uint32_t i = 0; i < r->spec.tasks; ++i) {
            if (!owner_.emplace(task_id{r->spec.id, i}, fd).second) {
                fail(r->spec.id.value + " was admitted twice");
            }
        }
    }
    if (const auto* const r = std::get_if<task_assigned>(&record)) {
        if (!assigned_.emplace(r->task, r->attempt).second) {
            fail(to_string(r->task) + " has an attempt that was assigned twice");
        }
    }
    if (const auto* const r = std::get_if<task_finished>(&record)) {
        record_final_phase(r->task, task_phase::finished);
    }
    if (const auto* const r = std::get_if<task_failed>(&record)) {
        record_final_phase(r->task, task_phase::failed);
    }
    if (const auto* const r = std::get_if<task_moved_out>(&record)) {
        if (owner_[r->task] != fd) {
            fail(to_string(r->task) + " was moved out by another failure domain than its owner");
        }
        owner_.erase(r->task);
    }
    if (const auto* const r = std::get_if<task_moved_in>(&record)) {
        if (!owner_.emplace(r->task, fd).second) {
            fail(to_string(r->task) + " is in two failure domains");
        }
    }
}

void checker::on_log_row(const failure_domain_id& fd, const std::string& key, const row_write& w)
{
    const auto records = decode_records(*w.value);
    if (!records.ok()) {
        fail(key + " is unreadable");
        return;
    }
    auto& job_ledger = ledgers_[fd];
    ++job_ledger.applied.value;
    if (std::stoull(key.substr(key.size() - 12)) != job_ledger.applied.value) {
        fail(key + " is not the next log row");
    }
    for (const auto& record : *records) {
        const auto status = apply_record(job_ledger, record);
        if (!status.ok()) {
            fail(key + ": " + std::string{status.message()});
        }
        on_record(fd, record);
    }
}

void checker::on_configuration(const transaction& t, instant now)
{
    for (const auto& w : t.writes) {
        if (!w.value || !w.key.starts_with(config_change_prefix)) {
            continue;
        }
        const auto row = decode_change_row(*w.value);
        const config_version next{configuration_.version.value + 1};
        if (!row.ok() || w.key != change_key(next) ||
            !apply_change(configuration_, {next, row->change})) {
            fail(w.key + " is not a valid next change of the configuration");
            return;
        }
        if (const auto* const out = std::get_if<take_domain_out>(&row->change)) {
            domain_out_since_.emplace(out->failure_domain, now);
        }
        if (const auto* const in = std::get_if<bring_domain_in>(&row->change)) {
            domain_out_since_.erase(in->failure_domain);
        }
    }
}

void checker::on_commit(const std::set<std::string>& existing, const transaction& t, instant now)
{
    for (const auto& w : t.writes) {
        if (w.key == config_snapshot_key && configuration_.version.value == 0) {
            configuration_.version.value = 1;
        }
        const auto log = w.key.find("/log/");
        if (!w.value || !w.key.starts_with("fd/") || log == std::string::npos) {
            continue;
        }
        if (existing.contains(w.key)) {
            fail(w.key + " was written twice");
        }
        on_log_row({w.key.substr(3, log - 3)}, w.key, w);
    }
    on_configuration(t, now);
}

void checker::check_placement(const std::map<std::string, fake_worker>& workers, const task_id& id)
{
    int running_copies = 0;
    for (const auto& [name, worker] : workers) {
        resources used;
        for (const auto& [key, a] : worker.attempts) {
            if (a.status != task_status::running) {
                continue;
            }
            used += a.size;
            running_copies += key.first == id ? 1 : 0;
        }
        if (!used.fits(worker.capacity)) {
            fail(name + " exceeds its capacity");
        }
    }
    if (running_copies > 1) {
        fail(to_string(id) + " runs in two attempts at once");
    }
}

void checker::on_start(const std::map<std::string, fake_worker>& workers, const std::string& worker,
                       const attempt_key& key, instant now)
{
    const failure_domain_id fd{worker.substr(0, 1)};
    starts_[fd].push_back(now);
    if (!started_.insert(key).second) {
        fail(to_string(key.first) + " has an attempt that was started twice");
    }
    if (!assigned_.contains(key)) {
        fail(to_string(key.first) + " was started without a committed assignment");
    }
    if (final_phases_.contains(key.first)) {
        fail(to_string(key.first) + " was started after its end was committed");
    }
    check_placement(workers, key.first);
    const auto out = domain_out_since_.find(fd);
    if (out != domain_out_since_.end()) {
        max_start_after_out_ = std::max(max_start_after_out_, now - out->second);
        if (now - out->second > bounds.start_after_out) {
            fail(to_string(key.first) + " was started too late in a failure domain that is out");
        }
    }
    const auto leaving = leaving_since_.find(worker);
    if (leaving != leaving_since_.end()) {
        max_start_after_leaving_ = std::max(max_start_after_leaving_, now - leaving->second);
        if (now - leaving->second > bounds.start_after_leaving) {
            fail(to_string(key.first) + " was started too late on a worker that is leaving");
        }
    }
}

void checker::on_leaving(const std::string& worker, instant now)
{
    leaving_since_.emplace(worker, now);
}

void checker::on_step(const state& s, bool holds_lease)
{
    auto& seen = last_version_[{s.self.vm, s.self.incarnation}];
    const auto& own = s.configuration.current;
    if (own.version < seen) {
        fail(s.self.vm.value + " reverted to an older configuration");
    }
    if (own.version == configuration_.version && own.domains_out != configuration_.domains_out) {
        fail(s.self.vm.value + " has a different configuration of the same version");
    }
    if (own.version > configuration_.version) {
        fail(s.self.vm.value + " has a configuration that was never committed");
    }
    seen = own.version;
    if (holds_lease && s.counters.get("scheduler.record_skipped") > 0) {
        fail(s.self.vm.value + " committed a record that contradicts its ledger");
    }
}

void checker::after_event()
{
    for (const auto& check : extra_invariants) {
        if (auto found = check()) {
            fail(*std::move(found));
        }
    }
}

std::uint32_t checker::count_ended(const job_id& job, task_phase phase) const
{
    std::uint32_t n = 0;
    for (const auto& [id, how] : final_phases_) {
        n += id.job == job && how == phase ? 1 : 0;
    }
    return n;
}

std::uint32_t checker::count_cancelled(const job_id& job) const
{
    std::uint32_t n = 0;
    for (const auto& [fd, job_ledger] : ledgers_) {
        const auto found = job_ledger.jobs.find(job);
        n += found == job_ledger.jobs.end() ? 0 : found->second.totals.in(task_phase::cancelled);
    }
    return n;
}

std::uint64_t checker::starts_in(const failure_domain_id& fd) const
{
    const auto found = starts_.find(fd);
    return found == starts_.end() ? 0 : found->second.size();
}

} // namespace cuminmoor::scenario
