/// \file
/// The registry of runners. Others write there as well: an entry whose service nobody has named is
/// no runner of ours. Nothing is sent to its address, and no recovery waits for it.
#include "central/runs/run_parts.h"

#include <algorithm>

namespace cuminmoor::central {

namespace {

/// \return true if the manifest names the service, or a job that has not ended does: its queue may
/// have been removed since.
bool is_named(const context& c, const service_id& service)
{
    if (names_service(c.s.operators.newest, service)) {
        return true;
    }
    const auto& jobs = c.s.scheduler.jobs;
    return std::any_of(jobs.begin(), jobs.end(), [&service](const auto& each) {
        const job_record& job = each.second;
        return !job.has_ended() && job.queue_settings.service == service;
    });
}

void unlist(const context& c, const runner_id& id)
{
    runner_record* const r = find_runner(c, id);
    if (r != nullptr && r->listed) {
        r->listed = false;
        log_runner(c, "runner_unlisted", *r, "");
    }
}

void ignore_entry(const context& c, const runner_entry& entry)
{
    unlist(c, entry.id);
    auto& ignored = c.s.scheduler.ignored_entries;
    if (ignored.size() < config::max_ignored_entries &&
        ignored.emplace(entry.id, entry.service).second) {
        c.log("entry_ignored", {{"runner", entry.id.value},
                                {"service", entry.service.value},
                                {"address", entry.address}});
    }
}

void take_entry(const context& c, const runner_entry& entry)
{
    scheduler_state& s = c.s.scheduler;
    s.ignored_entries.erase(entry.id);
    auto [found, is_new] = s.runners.try_emplace(entry.id);
    runner_record& r = found->second;
    const bool was_draining = r.entry.draining;
    const std::int64_t known_started_at = r.entry.started_at_ms;
    r.entry = entry;
    // Only the runner's own reports change its known incarnation.
    r.entry.started_at_ms =
        is_new || known_started_at == 0 ? entry.started_at_ms : known_started_at;
    r.listed = true;
    r.offer_again();
    if (is_new) {
        r.latency_rise_budget = config::initial_latency_rise_budget;
        s.commits.runners_to_add.push_back(entry.id);
    }
    if (entry.draining && !was_draining) {
        log_runner(c, "runner_draining", r, "");
        evict_from_draining_runner(c, r);
    }
}

void begin_snapshot(scheduler_state& s)
{
    for (auto& [id, r] : s.runners) {
        r.listed = false;
    }
    s.ignored_entries.clear();
    s.register_known = true;
}

} // namespace

void on_registry_changed(const context& c, const registry_changed& e)
{
    scheduler_state& s = c.s.scheduler;
    if (c.s.lease.current_role != role::scheduler && c.s.lease.current_role != role::loading) {
        return;
    }
    if (e.is_snapshot) {
        begin_snapshot(s);
    }
    for (const runner_entry& entry : e.present) {
        if (is_named(c, entry.service)) {
            take_entry(c, entry);
        }
        else {
            ignore_entry(c, entry);
        }
    }
    for (const runner_id& id : e.removed) {
        unlist(c, id);
        s.ignored_entries.erase(id);
    }
    s.placement_due = true;
    c.wake_by(c.now);
}

void reread_ignored_entries(const context& c)
{
    const auto& ignored = c.s.scheduler.ignored_entries;
    const bool has_known = std::any_of(ignored.begin(), ignored.end(),
                                       [&c](const auto& each) { return is_named(c, each.second); });
    if (c.is_scheduler() && has_known) {
        c.add(watch_registry{true});
    }
}

} // namespace cuminmoor::central
