/// \file
/// Start and resource accounting of runs.
///
/// A run counts as ended, so that its task may start elsewhere, only if the runner reported the
/// end, the start was certainly not executed, the runner's incarnation has ended, or the lease has
/// expired.
#include "central/runs/run_parts.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

constexpr const char* leases_expired_cause{"the leases expired while the runner did not answer"};

std::vector<log_field> fields_of(const context& c, const graph_task_id& id, const run& r,
                                 const std::string& outcome)
{
    std::vector<log_field> fields{{"task", to_string(id)},
                                  {"run", absl::StrCat(r.number.value)},
                                  {"runner", r.runner.value},
                                  {"outcome", outcome},
                                  {"age_ms", absl::StrCat((c.now - r.ordered_at).count)}};
    if (r.stop.orders > 0) {
        const millis stopping = c.now - r.stop.first_ordered_at;
        fields.push_back({"stopping_ms", absl::StrCat(stopping.count)});
        fields.push_back({"stop_orders", absl::StrCat(r.stop.orders)});
    }
    return fields;
}

/// Adds the incarnation for which a run was started, as this VM knows it.
void add_incarnation(std::vector<log_field>& fields, const runner_record& r)
{
    fields.push_back({"incarnation", absl::StrCat(r.entry.started_at_ms)});
}

/// Releases a run whose runner restarted or whose lease expired.
///
/// While the start order is unanswered, the run is kept and flagged instead: the answer may come
/// from the previous incarnation, so it does not prove that the run exists.
void mark_run_lost(const context& c, const runner_record& r, const graph_task_id& id, task_ref ref,
                   const std::string& cause)
{
    run& lost_run = *ref.task->current_run;
    if (lost_run.start_in_flight) {
        lost_run.runner_may_have_restarted = true;
        return;
    }
    const millis survived = std::max(millis{0}, r.last_alive.seen_at - lost_run.ordered_at);
    std::vector<log_field> fields = fields_of(c, id, lost_run, cause);
    fields.push_back({"survived_ms", absl::StrCat(survived.count)});
    fields.push_back({"draining", r.entry.draining ? "true" : "false"});
    fields.push_back({"runs", absl::StrCat(r.runs.size())});
    add_incarnation(fields, r);
    const std::int64_t started_clock = lost_run.started_by ? lost_run.started_by->ms : 0;
    fields.push_back({"started_clock_ms", absl::StrCat(started_clock)});
    fields.push_back({"leases_ended_ms_ago", absl::StrCat((c.now - r.leases_expire_by).count)});
    c.log("run_lost", std::move(fields));
    release_run(c, id, ref);
}

/// \return true if the runner may execute the start later: it was ordered, and neither an answer
/// nor a report has shown that the run exists.
bool may_still_start(const run& each)
{
    return !each.awaits_store && each.start_confirmed_at_hold == 0;
}

/// Records the runner on which a task can run; empty: none.
void set_place(const context& c, const task_ref& ref, const runner_id& place,
               std::int64_t incarnation)
{
    if (ref.task->placed_on != place || ref.task->placed_incarnation != incarnation) {
        ref.task->placed_on = place;
        ref.task->placed_incarnation = incarnation;
        ref.task->has_survived_there = false;
        mark_changed(c, *ref.job);
    }
}

void log_start(const context& c, const runner_record& r, const runner_order& order,
               const run& started)
{
    const char* const outcome = order.checkpoint.empty() ? "fresh" : "resumed";
    std::vector<log_field> fields = fields_of(c, order.task, started, outcome);
    add_incarnation(fields, r);
    fields.push_back({"until_ms", absl::StrCat(order.lease_until.ms)});
    c.log("run_started", std::move(fields));
}

void order_start(const context& c, const graph_task_id& id, const task_ref& ref, runner_record& r)
{
    run& started = *ref.task->current_run;
    started.ordered_at = c.now;
    started.is_fresh = ref.task->checkpoint.empty();
    started.awaits_store = false;
    started.start_in_flight = true;
    runner_order order = make_order(c, r, id, order_kind::start, started.number);
    order.payload = ref.job->spec.payload;
    order.checkpoint = ref.task->checkpoint;
    order.lease_until = grant_lease(c, r).value_or(remote_instant{});
    if (const auto since = std::exchange(ref.task->without_run_since, std::nullopt)) {
        order.waited = c.now - *since;
    }
    log_start(c, r, order, started);
    if (ref.task->crashes.is_suspect) {
        r.probation_until = c.now + config::crash_probation;
        c.wake_by(*r.probation_until);
    }
    c.add(std::move(order));
}

/// \return true if the runner on which the run has its place can still take it.
bool can_still_take(const context& c, runner_record& r, const graph_task_id& id,
                    const task_ref& ref)
{
    if (!may_send_orders(c) || c.s.lease.releasing || !is_schedulable(c, r)) {
        return false;
    }
    unreserve_run(r, ref, id);
    const bool fits = is_feasible(c, r, id, ref, runner_requirement::best_effort);
    reserve_for_run(r, ref, id);
    return fits;
}

/// Orders the start of a run whose place is stored, or gives the place up.
void order_or_release(const context& c, const graph_task_id& id, const task_ref& ref)
{
    runner_record* const r = find_runner(c, ref.task->current_run->runner);
    const bool is_wanted = ref.task->current_run->phase == run_phase::starting;
    if (is_wanted && r != nullptr && can_still_take(c, *r, id, ref)) {
        order_start(c, id, ref, *r);
    }
    else {
        release_run(c, id, ref);
    }
}

} // namespace

runner_record* find_runner(const context& c, const runner_id& id)
{
    const auto found = c.s.scheduler.runners.find(id);
    return found == c.s.scheduler.runners.end() ? nullptr : &found->second;
}

bool is_current_run(const task_ref& ref, const runner_id& runner, run_number number)
{
    return ref && ref.task->current_run && ref.task->current_run->runner == runner &&
           ref.task->current_run->number == number;
}

runner_order make_order(const context& c, const runner_record& r, const graph_task_id& id,
                        order_kind kind, run_number number)
{
    runner_order order;
    order.kind = kind;
    order.runner = r.entry.id;
    order.address = r.entry.address;
    order.term = c.s.lease.term;
    order.task = id;
    order.run = number;
    order.runner_started_at_ms = r.entry.started_at_ms;
    return order;
}

void log_run(const context& c, const char* name, const graph_task_id& id, const run& r,
             const char* outcome)
{
    c.log(name, fields_of(c, id, r, outcome));
}

void requeue_task(const context& c, const graph_task_id& id, task_ref ref)
{
    const bool has_no_run = ref.task->status == task_status::active && !ref.task->current_run;
    if (has_no_run && !ref.job->has_ended()) {
        mark_task_ready(c, id, ref);
    }
}

void reserve_for_run(runner_record& r, const task_ref& ref, const graph_task_id& id)
{
    const graph_step& step = *ref.step;
    if (!r.runs.insert(id).second) {
        return;
    }
    resources size = step.task_size;
    if (step.uses_leftover) {
        r.leftover_milli_cores += size.milli_cores;
        size.milli_cores = 0;
    }
    if (step.is_service) {
        r.service_milli_cores += size.milli_cores;
        r.service_milli_cores_by_image[ref.image] += size.milli_cores;
    }
    r.reserved += size;
}

void unreserve_run(runner_record& r, const task_ref& ref, const graph_task_id& id)
{
    const graph_step& step = *ref.step;
    if (r.runs.erase(id) == 0) {
        return;
    }
    resources size = step.task_size;
    if (step.uses_leftover) {
        r.leftover_milli_cores -= size.milli_cores;
        size.milli_cores = 0;
    }
    if (step.is_service) {
        r.service_milli_cores -= size.milli_cores;
        std::int64_t& cores = r.service_milli_cores_by_image[ref.image];
        cores -= size.milli_cores;
        if (cores <= 0) {
            r.service_milli_cores_by_image.erase(ref.image);
        }
    }
    r.reserved -= size;
    r.is_offered_to_services = false;
}

void attach_run(const context& c, const task_ref& ref, runner_record& r, const graph_task_id& id,
                const run& started)
{
    ref.task->current_run = started;
    add_to_use(c, ref);
    ++ref.job->active_runs;
    const bool was_shared = hosts_services_and_leftover(r);
    reserve_for_run(r, ref, id);
    if (!was_shared && hosts_services_and_leftover(r)) {
        r.targets_met_at = started.ordered_at;
    }
}

void keep_place(const context& c, const task_ref& ref, const runner_record& r)
{
    set_place(c, ref, r.entry.id, r.entry.started_at_ms);
}

void forget_place(const context& c, const task_ref& ref)
{
    if (!ref.job->has_ended()) {
        set_place(c, ref, {}, 0);
    }
}

void detach_run(const context& c, const task_ref& ref, runner_record* r, const graph_task_id& id)
{
    if (r != nullptr) {
        unreserve_run(*r, ref, id);
    }
    forget_stop(c, id, *ref.task->current_run);
    const bool was_ordered = !ref.task->current_run->awaits_store;
    if (ref.step->is_service && was_ordered) {
        ref.task->without_run_since = c.now;
    }
    ref.task->current_run.reset();
    remove_from_use(c, ref);
    forget_place(c, ref);
    end_suspect_run(c, ref);
    if (--ref.job->active_runs == 0) {
        ref.job->idle_since = c.now;
    }
}

void start_run(const context& c, const graph_task_id& id, task_ref ref, runner_record& r,
               run_number number)
{
    unmark_task_ready(c, id, ref);
    note_start(c, id);
    ref.task->status = task_status::active;
    ref.task->last_run = number;
    run started;
    started.runner = r.entry.id;
    started.number = number;
    started.ordered_at = c.now;
    started.awaits_store = ref.step->is_service || ref.task->crashes.has_open_run;
    started.is_isolated = ref.task->crashes.is_suspect;
    attach_run(c, ref, r, id, started);
    ref.task->is_reconciled = true;
    if (ref.step->uses_leftover) {
        update_expected_disturbance(c, r);
    }
    if (started.awaits_store) {
        // Also if it was there before: that is known to be stored only after this change.
        ref.task->placed_on = r.entry.id;
        ref.task->placed_incarnation = r.entry.started_at_ms;
        ref.task->has_survived_there = false;
        mark_changed(c, *ref.job);
        c.s.scheduler.unstored_starts[id] = ref.job->last_change;
        return;
    }
    order_start(c, id, ref, r);
}

void order_stored_starts(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    for (auto it = s.unstored_starts.begin(); it != s.unstored_starts.end();) {
        const auto [id, change] = *it;
        const task_ref ref = find_task(c.s, id);
        if (ref && change > ref.job->stored_change) {
            ++it;
            continue;
        }
        it = s.unstored_starts.erase(it);
        if (ref && ref.task->current_run && ref.task->current_run->awaits_store) {
            order_or_release(c, id, ref);
        }
    }
}

void evict_from_draining_runner(const context& c, runner_record& r)
{
    for (const graph_task_id& id : r.runs) {
        const task_ref ref = find_task(c.s, id);
        const bool keeps_progress = ref && (ref.step->is_service || ref.step->saves_checkpoints);
        if (keeps_progress && ref.task->current_run &&
            ref.task->current_run->phase == run_phase::running) {
            stop_run(c, id, *ref.task->current_run);
        }
    }
}

void release_run(const context& c, const graph_task_id& id, task_ref ref)
{
    detach_run(c, ref, find_runner(c, ref.task->current_run->runner), id);
    requeue_task(c, id, ref);
    c.s.scheduler.placement_due = true;
}

void mark_services_lost(const context& c, runner_record& r)
{
    const std::vector<graph_task_id> known{r.runs.begin(), r.runs.end()};
    for (const graph_task_id& id : known) {
        const task_ref ref = find_task(c.s, id);
        if (ref && ref.task->current_run && ref.step->is_service) {
            mark_run_lost(c, r, id, ref, leases_expired_cause);
        }
    }
}

void mark_all_runs_lost(const context& c, runner_record& r, loss_evidence evidence)
{
    const bool has_restarted = evidence == loss_evidence::other_incarnation;
    const std::string cause = has_restarted ? "another incarnation answers at the runner's address"
                                            : leases_expired_cause;
    const std::vector<graph_task_id> lost_runs{r.runs.begin(), r.runs.end()};
    const std::vector<graph_task_id> suspects = crash_suspects(c, r);
    for (const graph_task_id& id : lost_runs) {
        const task_ref ref = find_task(c.s, id);
        if (ref && ref.task->current_run) {
            mark_run_lost(c, r, id, ref, cause);
        }
    }
    r.orphans.clear();
    // A runner that is still registered may only be cut off.
    if (has_restarted || !r.listed) {
        count_crash(c, r, suspects);
        count_handed_over_crash(c, r);
    }
    r.has_unreported_runs = false;
}

void drop_unreported_runs(const context& c, runner_record& r, const runner_hold_ended& report)
{
    std::set<std::pair<graph_task_id, run_number>> reported;
    for (const reported_run& each : report.running) {
        reported.emplace(each.task, each.run);
    }
    for (const reported_end& each : report.ended) {
        reported.emplace(each.task, each.run);
    }
    const std::vector<graph_task_id> known{r.runs.begin(), r.runs.end()};
    const std::vector<graph_task_id> suspects = crash_suspects(c, r);
    for (const graph_task_id& id : known) {
        const task_ref ref = find_task(c.s, id);
        if (!ref || !ref.task->current_run ||
            reported.contains({id, ref.task->current_run->number})) {
            continue;
        }
        run& each = *ref.task->current_run;
        const bool is_newer_than_report = each.start_confirmed_at_hold >= r.holds_sent;
        const bool may_have_started =
            may_still_start(each) || is_newer_than_report || report.has_more_ends;
        if (may_have_started && !each.start_in_flight) {
            // The incarnation before may have confirmed a stop; this one has not.
            forget_stop(c, id, each);
            each.stop = {};
            stop_run(c, id, each);
        }
        else {
            mark_run_lost(c, r, id, ref, "the runner was restarted");
        }
    }
    r.orphans.clear();
    count_crash(c, r, suspects);
    count_handed_over_crash(c, r);
}

} // namespace cuminmoor::central
