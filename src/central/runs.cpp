/// \file
/// Runs of tasks: started, stopped, and ended on evidence.
///
/// A run counts as gone, and its task may start elsewhere, only when the runner said so, when it
/// was certainly never started, when the runner's life is over, or when its lease has expired.
#include "parts.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

runner_record* find_runner(const context& c, const runner_id& id)
{
    const auto found = c.s.scheduler.runners.find(id);
    return found == c.s.scheduler.runners.end() ? nullptr : &found->second;
}

bool is_run(const task_place& place, const runner_id& runner, run_number number)
{
    return place && place.task->where && place.task->where->runner == runner &&
           place.task->where->number == number;
}

void order_stop(const context& c, const runner_record& r, const graph_task_id& id,
                run_number number)
{
    runner_order order;
    order.kind = order_kind::stop;
    order.runner = r.entry.id;
    order.address = r.entry.address;
    order.term = c.s.lease.term;
    order.task = id;
    order.run = number;
    c.add(std::move(order));
}

/// Stops what runs there for no task of ours.
void stop_foreign(const context& c, runner_record& r, const graph_task_id& id, run_number number)
{
    auto [found, is_new] = r.foreign.try_emplace(id);
    foreign_run& f = found->second;
    if (!is_new && f.number >= number) {
        return;
    }
    f = {number, true, c.now + config::stop_retry, 0};
    c.log("foreign_run_stopped", {{"task", to_string(id)},
                                  {"run", absl::StrCat(number.value)},
                                  {"runner", r.entry.id.value}});
    order_stop(c, r, id, number);
}

const char* name_of(order_result result)
{
    switch (result) {
    case order_result::done:
        return "done";
    case order_result::fenced:
        return "fenced";
    case order_result::superseded:
        return "superseded";
    case order_result::expired:
        return "expired";
    case order_result::no_room:
        return "no_room";
    case order_result::unwell:
        return "unwell";
    case order_result::other_life:
        return "other_life";
    case order_result::malformed:
        return "malformed";
    case order_result::not_sent:
        return "not_sent";
    case order_result::unknown:
        return "unknown";
    }
    return "";
}

const char* name_of(end_cause cause)
{
    switch (cause) {
    case end_cause::done:
        return "done";
    case end_cause::failed:
        return "failed";
    case end_cause::stopped:
        return "stopped";
    case end_cause::lease_expired:
        return "lease_expired";
    case end_cause::gang_broken:
        return "gang_broken";
    case end_cause::gang_incomplete:
        return "gang_incomplete";
    }
    return "";
}

void log_run(const context& c, const char* event, const graph_task_id& id, const run& r,
             const char* outcome)
{
    c.log(event, {{"task", to_string(id)},
                  {"run", absl::StrCat(r.number.value)},
                  {"runner", r.runner.value},
                  {"outcome", outcome},
                  {"age_ms", absl::StrCat((c.now - r.ordered_at).count)}});
}

void on_start_done(const context& c, const graph_task_id& id, task_place place, runner_record& r)
{
    run& started = *place.task->where;
    if (started.life_in_doubt) {
        stop_run(c, id, started);
        return;
    }
    started.start_confirmed_at_hold = r.holds_sent;
    if (started.phase == run_phase::starting) {
        started.phase = run_phase::running;
        note_started(c, *place.job);
    }
    if (place.step->uses_leftover) {
        pace_runner(c, r);
    }
}

/// The runner has certainly not started it.
void on_start_refused(const context& c, const runner_order_ended& e, task_place place,
                      runner_record* r)
{
    log_run(c, "start_refused", e.task, *place.task->where, name_of(e.result));
    if (e.result == order_result::other_life) {
        release_run(c, e.task, place);
        if (r != nullptr) {
            lose_all_runs(c, *r, "another life answers at the runner's address");
            r->confirmed = false;
        }
        return;
    }
    if (r != nullptr) {
        r->avoided_until = std::max(r->avoided_until, c.now + config::unwell_time);
    }
    if (e.result == order_result::malformed) {
        fail_task(c, e.task, place);
    }
    release_run(c, e.task, place);
}

void on_start_ended(const context& c, const runner_order_ended& e, runner_record* r)
{
    const task_place place = find_task(c.s, e.task);
    // Superseded: the run may have been started, and have ended, by an order that seemed lost.
    const bool may_run = e.result == order_result::done || e.result == order_result::unknown ||
                         e.result == order_result::superseded;
    if (!is_run(place, e.runner, e.run)) {
        if (may_run && r != nullptr) {
            stop_foreign(c, *r, e.task, e.run);
        }
        return;
    }
    run& started = *place.task->where;
    started.start_in_flight = false;
    if (!may_run || r == nullptr) {
        on_start_refused(c, e, place, r);
        return;
    }
    if (e.result == order_result::done) {
        on_start_done(c, e.task, place, *r);
        return;
    }
    log_run(c, "start_uncertain", e.task, started, name_of(e.result));
    stop_run(c, e.task, started);
}

template <typename Run>
void note_stop(const context& c, Run& stopped, const runner_order_ended& e, const runner_record& r)
{
    stopped.stop_in_flight = false;
    const bool is_confirmed =
        e.result == order_result::done || e.result == order_result::superseded;
    if (is_confirmed) {
        stopped.stop_confirmed_at_hold = r.holds_sent;
    }
    else {
        stopped.stop_again_at = c.now + config::stop_retry;
        c.wake(stopped.stop_again_at);
    }
}

void on_stop_ended(const context& c, const runner_order_ended& e, runner_record* r)
{
    if (r == nullptr) {
        return;
    }
    const task_place place = find_task(c.s, e.task);
    if (is_run(place, e.runner, e.run)) {
        note_stop(c, *place.task->where, e, *r);
        return;
    }
    const auto found = r->foreign.find(e.task);
    if (found != r->foreign.end() && found->second.number == e.run) {
        note_stop(c, found->second, e, *r);
    }
}

void on_pace_ended(const context& c, const runner_order_ended& e)
{
    const task_place place = find_task(c.s, e.task);
    if (is_run(place, e.runner, e.run) && e.result != order_result::done) {
        // Neither speed is certain: the next report orders it again.
        place.task->where->pace = UINT32_MAX;
    }
}

/// A member of a gang that is done stands for all of them.
void finish_tasks(const context& c, const graph_task_id& id, task_place place)
{
    if (!place.step->is_gang) {
        finish_task(c, id, place);
        return;
    }
    for (std::uint32_t i{0}; i < place.progress->tasks.size(); ++i) {
        graph_task_id member = id;
        member.index = i;
        const task_place each = find_task(c.s, member);
        if (each && each.task->status != task_status::done) {
            finish_task(c, member, each);
        }
    }
}

void count_failure(const context& c, const reported_end& e, task_place place, runner_record& r)
{
    ++r.failures_in_a_row;
    if (r.failures_in_a_row >= config::failures_to_avoid) {
        r.avoided_until = c.now + config::avoid_time;
        c.log("runner_avoided", {{"runner", r.entry.id.value},
                                 {"failures", absl::StrCat(r.failures_in_a_row)},
                                 {"for_ms", absl::StrCat(config::avoid_time.count)}});
    }
    auto& counted = place.task->failed_runs;
    if (std::find(counted.begin(), counted.end(), e.run) != counted.end()) {
        return;
    }
    if (!place.step->is_service) {
        counted.push_back(e.run);
    }
    place.task->failed_on = r.entry.id;
    fail_task(c, e.task, place);
}

/// What an end means for its task, once it is off the runner's books.
void apply_end(const context& c, const reported_end& e, task_place place, runner_record& r)
{
    if (e.cause == end_cause::done) {
        r.failures_in_a_row = 0;
        if (place.task->status != task_status::done) {
            finish_tasks(c, e.task, place);
        }
        if (place.task->where) {
            stop_run(c, e.task, *place.task->where);
        }
        return;
    }
    if (e.cause == end_cause::failed) {
        count_failure(c, e, place, r);
    }
    else if (!e.checkpoint.empty()) {
        mark_changed(c, *place.job);
    }
}

void make_ready_again(const context& c, const graph_task_id& id, task_place place)
{
    const bool is_free = place.task->status == task_status::active && !place.task->where;
    if (is_free && !place.job->is_over()) {
        make_ready(c, id, place);
    }
}

/// A run that a runner reports and that no start of this term stands for: it was started in an
/// earlier term, and goes on.
bool adopt(const context& c, runner_record& r, const reported_run& reported, task_place place)
{
    const bool is_wanted = place && !place.job->is_over() && !place.task->where &&
                           place.task->status != task_status::done &&
                           reported.run > place.task->last_run;
    if (!is_wanted) {
        return false;
    }
    unlist_ready(c, reported.task, place);
    place.task->status = task_status::active;
    run adopted;
    adopted.runner = r.entry.id;
    adopted.number = reported.run;
    adopted.phase = run_phase::running;
    adopted.ordered_at = c.now;
    adopted.start_confirmed_at_hold = r.holds_sent;
    place.task->last_run = std::max(place.task->last_run, reported.run);
    attach_run(place, r, reported.task, adopted);
    note_started(c, *place.job);
    log_run(c, "run_adopted", reported.task, adopted, "running");
    return true;
}

void note_report(const context& c, runner_record& r, const reported_run& reported)
{
    const task_place place = find_task(c.s, reported.task);
    const bool is_known = is_run(place, r.entry.id, reported.run);
    if (!is_known && !adopt(c, r, reported, place)) {
        stop_foreign(c, r, reported.task, reported.run);
        return;
    }
    run& known = *place.task->where;
    known.load = reported.load;
    known.progress = reported.percent;
    if (!reported.checkpoint.empty()) {
        place.task->checkpoint = reported.checkpoint;
    }
    if (known.phase == run_phase::starting) {
        known.phase = run_phase::running;
        known.start_confirmed_at_hold = r.holds_sent;
        note_started(c, *place.job);
    }
}

/// The run is over, unless its start is still on its way: then its answer proves nothing.
void lose_run(const context& c, const graph_task_id& id, task_place place, const std::string& cause)
{
    run& lost = *place.task->where;
    if (lost.start_in_flight) {
        lost.life_in_doubt = true;
        return;
    }
    log_run(c, "run_lost", id, lost, cause.c_str());
    release_run(c, id, place);
}

/// Runs that a report should list and does not.
void check_missing(const context& c, runner_record& r, const std::set<graph_task_id>& listed)
{
    const std::vector<graph_task_id> known{r.runs.begin(), r.runs.end()};
    for (const graph_task_id& id : known) {
        const task_place place = find_task(c.s, id);
        if (listed.contains(id) || !place || !place.task->where) {
            continue;
        }
        run& missing = *place.task->where;
        const auto is_older = [&r](std::uint64_t hold) { return hold != 0 && hold < r.holds_sent; };
        if (is_older(missing.stop_confirmed_at_hold)) {
            log_run(c, "run_gone", id, missing, "stopped and no longer listed");
            release_run(c, id, place);
        }
        else if (is_older(missing.start_confirmed_at_hold) && missing.phase == run_phase::running) {
            log_run(c, "run_missing", id, missing, "its stop is ordered");
            stop_run(c, id, missing);
        }
    }
    std::erase_if(r.foreign, [&](const auto& f) {
        const std::uint64_t hold = f.second.stop_confirmed_at_hold;
        return hold != 0 && hold < r.holds_sent && !listed.contains(f.first);
    });
}

} // namespace

void charge_run(runner_record& r, const task_place& place, const graph_task_id& id)
{
    const graph_step& step = *place.step;
    if (!r.runs.insert(id).second) {
        return;
    }
    resources size = step.task_size;
    if (step.uses_leftover) {
        r.leftover_wanted += size.milli_cores;
        size.milli_cores = 0;
    }
    if (step.is_service) {
        r.service_cores += size.milli_cores;
        r.service_images[place.image] += size.milli_cores;
    }
    r.charged += size;
}

void uncharge_run(runner_record& r, const task_place& place, const graph_task_id& id)
{
    const graph_step& step = *place.step;
    if (r.runs.erase(id) == 0) {
        return;
    }
    resources size = step.task_size;
    if (step.uses_leftover) {
        r.leftover_wanted -= size.milli_cores;
        size.milli_cores = 0;
    }
    if (step.is_service) {
        r.service_cores -= size.milli_cores;
        std::int64_t& cores = r.service_images[place.image];
        cores -= size.milli_cores;
        if (cores <= 0) {
            r.service_images.erase(place.image);
        }
    }
    r.charged -= size;
}

void attach_run(const task_place& place, runner_record& r, const graph_task_id& id,
                const run& started)
{
    place.task->where = started;
    ++place.job->active_runs;
    charge_run(r, place, id);
}

void detach_run(const context& c, const task_place& place, runner_record* r,
                const graph_task_id& id)
{
    if (r != nullptr) {
        uncharge_run(*r, place, id);
    }
    place.task->where.reset();
    if (--place.job->active_runs == 0) {
        place.job->idle_since = c.now;
    }
}

void start_run(const context& c, const graph_task_id& id, task_place place, runner_record& r,
               run_number number)
{
    unlist_ready(c, id, place);
    place.task->status = task_status::active;
    place.task->last_run = number;
    run started;
    started.runner = r.entry.id;
    started.number = number;
    started.ordered_at = c.now;
    started.start_in_flight = true;
    attach_run(place, r, id, started);
    if (place.step->uses_leftover) {
        expect_disturbance(c, r);
    }

    runner_order order;
    order.runner = r.entry.id;
    order.address = r.entry.address;
    order.term = c.s.lease.term;
    order.task = id;
    order.run = number;
    order.payload = place.job->spec.payload;
    order.checkpoint = place.task->checkpoint;
    order.lease_until = grant_lease(c, r).value_or(remote_instant{});
    log_run(c, "run_started", id, started, order.checkpoint.empty() ? "fresh" : "resumed");
    c.add(std::move(order));
}

void stop_run(const context& c, const graph_task_id& id, run& stopped)
{
    runner_record* const r = find_runner(c, stopped.runner);
    stopped.phase = run_phase::stopping;
    if (r == nullptr || stopped.stop_in_flight || stopped.stop_confirmed_at_hold != 0) {
        return;
    }
    stopped.stop_in_flight = true;
    log_run(c, "run_stopped", id, stopped, "ordered");
    order_stop(c, *r, id, stopped.number);
}

void leave_draining_runner(const context& c, runner_record& r)
{
    for (const graph_task_id& id : r.runs) {
        const task_place place = find_task(c.s, id);
        const bool loses_nothing =
            place && (place.step->is_service || place.step->saves_checkpoints);
        if (loses_nothing && place.task->where && place.task->where->phase == run_phase::running) {
            stop_run(c, id, *place.task->where);
        }
    }
}

void release_run(const context& c, const graph_task_id& id, task_place place)
{
    detach_run(c, place, find_runner(c, place.task->where->runner), id);
    make_ready_again(c, id, place);
    c.s.scheduler.placement_due = true;
}

void on_order_ended(const context& c, const runner_order_ended& e)
{
    if (!c.is_scheduler()) {
        return;
    }
    runner_record* const r = find_runner(c, e.runner);
    if (e.result == order_result::fenced) {
        step_down(c, "a runner has seen a higher term");
        return;
    }
    if (r != nullptr && e.clock && r->clock) {
        r->clock = clock_sample{*e.clock, c.now};
    }
    switch (e.kind) {
    case order_kind::start:
        on_start_ended(c, e, r);
        break;
    case order_kind::stop:
        on_stop_ended(c, e, r);
        break;
    case order_kind::pace:
        on_pace_ended(c, e);
        break;
    }
}

void work_in_end(const context& c, runner_record& r, const reported_end& e)
{
    const auto foreign = r.foreign.find(e.task);
    if (foreign != r.foreign.end() && foreign->second.number <= e.run) {
        r.foreign.erase(foreign);
    }
    const task_place place = find_task(c.s, e.task);
    if (!place) {
        return;
    }
    if (is_run(place, r.entry.id, e.run)) {
        log_run(c, "run_ended", e.task, *place.task->where, name_of(e.cause));
        detach_run(c, place, &r, e.task);
    }
    place.task->last_run = std::max(place.task->last_run, e.run);
    if (!e.checkpoint.empty() && place.task->status != task_status::done) {
        place.task->checkpoint = e.checkpoint;
    }
    if (place.job->is_over() && place.job->shown != place.job->state) {
        // Until the store knows that the job is over, a successor may need this end.
        r.last_end_change = c.s.scheduler.commits.last_change;
    }
    if (!place.job->is_over()) {
        const std::uint64_t before = c.s.scheduler.commits.last_change;
        apply_end(c, e, place, r);
        const std::uint64_t after = c.s.scheduler.commits.last_change;
        r.last_end_change = after > before ? after : r.last_end_change;
        // The job may be over now, and gone from the books.
        if (const task_place again = find_task(c.s, e.task)) {
            make_ready_again(c, e.task, again);
        }
    }
}

void work_in_running(const context& c, runner_record& r, const std::vector<reported_run>& reported)
{
    std::set<graph_task_id> listed;
    for (const reported_run& each : reported) {
        listed.insert(each.task);
        note_report(c, r, each);
    }
    check_missing(c, r, listed);
}

void check_stops(const context& c, runner_record& r)
{
    for (const graph_task_id& id : r.runs) {
        const task_place place = find_task(c.s, id);
        if (!place || !place.task->where) {
            continue;
        }
        run& each = *place.task->where;
        const bool is_due = each.phase == run_phase::stopping && !each.stop_in_flight &&
                            each.stop_confirmed_at_hold == 0 && c.now >= each.stop_again_at;
        if (is_due) {
            stop_run(c, id, each);
        }
    }
    for (auto& [id, f] : r.foreign) {
        const bool is_due =
            !f.stop_in_flight && f.stop_confirmed_at_hold == 0 && c.now >= f.stop_again_at;
        if (is_due) {
            f.stop_in_flight = true;
            order_stop(c, r, id, f.number);
        }
    }
}

void lose_all_runs(const context& c, runner_record& r, const std::string& cause)
{
    const std::vector<graph_task_id> lost{r.runs.begin(), r.runs.end()};
    for (const graph_task_id& id : lost) {
        const task_place place = find_task(c.s, id);
        if (place && place.task->where) {
            lose_run(c, id, place, cause);
        }
    }
    r.foreign.clear();
}

void keep_reported_runs(const context& c, runner_record& r, const runner_hold_ended& report)
{
    std::set<std::pair<graph_task_id, run_number>> reported;
    for (const reported_run& each : report.running) {
        reported.emplace(each.task, each.run);
    }
    for (const reported_end& each : report.ended) {
        reported.emplace(each.task, each.run);
    }
    const std::vector<graph_task_id> known{r.runs.begin(), r.runs.end()};
    for (const graph_task_id& id : known) {
        const task_place place = find_task(c.s, id);
        if (!place || !place.task->where || reported.contains({id, place.task->where->number})) {
            continue;
        }
        run& each = *place.task->where;
        const bool is_newer_than_report = each.start_confirmed_at_hold >= r.holds_sent;
        if (is_newer_than_report && !each.start_in_flight) {
            stop_run(c, id, each);
        }
        else {
            lose_run(c, id, place, "the runner was restarted");
        }
    }
    r.foreign.clear();
}

} // namespace cuminmoor::central
