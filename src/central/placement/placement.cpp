/// \file
/// Rounds in which ready tasks are placed on runners: steps in order of urgency, and rejected steps
/// only on runners that have changed.
#include "central/lease/handover.h"
#include "central/placement/lookahead.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <optional>
#include <utility>

namespace cuminmoor::central {

namespace {

/// Number of run numbers reserved for each term, so that later terms use higher numbers.
constexpr std::uint64_t run_numbers_per_term{4'096};

run_number next_run_number(const context& c, const task_record& task)
{
    const std::uint64_t first_of_term = (c.s.lease.term.value - 1) * run_numbers_per_term + 1;
    return {std::max(task.last_run.value + 1, first_of_term)};
}

/// One offer of all ready steps to the runners. A step that was rejected in the round before is
/// only offered the runners that have changed since, as no other has become feasible.
struct placement_round {
    const context& c;
    /// All schedulable runners.
    std::vector<runner_record*> runners;
    /// Those of them that have changed since the last round, and some others in turn.
    std::vector<runner_record*> changed;
    /// Further runners that have changed, left to the next round.
    std::vector<runner_record*> postponed;
    runner_selector selector{c};
    /// `scheduler_state::runners_scored` when the round began.
    std::uint64_t scored_before{c.s.scheduler.runners_scored};
    /// Runners scored for tasks that were started.
    std::uint64_t scored_for_starts{0};
    /// Runners scored for steps that were offered all runners and rejected.
    std::uint64_t scored_for_rejections{0};
    /// Some steps were not offered all runners.
    bool is_incomplete{false};
    /// Steps that no runner could take, most urgent first.
    std::vector<ready_key> rejected;

    [[nodiscard]] std::uint64_t number() const { return c.s.scheduler.placement_rounds; }
    [[nodiscard]] std::uint64_t scored_in_vain() const
    {
        return c.s.scheduler.runners_scored - scored_before - scored_for_starts;
    }
    [[nodiscard]] bool is_exhausted() const
    {
        return scored_for_rejections >= config::max_scored_runners_per_round;
    }
    [[nodiscard]] bool was_rejected_before(const step_rejection& rejection) const
    {
        return rejection.round != 0 && rejection.round + 1 == number();
    }
};

runner_offer offer_of(const runner_record& r)
{
    const room_reservation kept = r.reservation.value_or(room_reservation{});
    return {r.entry.capacity,
            r.reserved,
            r.runs.size(),
            r.kept_for_services,
            kept.size,
            kept.expected_at,
            r.leftover_milli_cores,
            r.service_milli_cores,
            r.benign_pace,
            r.latency_rise_budget,
            r.benign_latency_rise,
            r.antagonist_latency_rise};
}

/// Finds the runners to offer to steps that were rejected before: as many as keep the round within
/// its limit, beginning where the last round has stopped.
void find_changed_runners(const context& c, placement_round& round)
{
    const std::size_t count = round.runners.size();
    const std::size_t steps = std::max<std::size_t>(c.s.scheduler.ready.size(), 1);
    const std::size_t most = std::max<std::size_t>(config::max_scored_runners_per_round / steps,
                                                   config::reoffered_runners);
    const std::size_t first = c.s.scheduler.next_reoffered_runner;
    std::vector<std::size_t> changed;
    for (std::size_t i{first}; i < first + count; ++i) {
        runner_record* const r = round.runners[i % count];
        const bool is_reoffered = i - first < config::reoffered_runners;
        if (!is_reoffered && r->last_offer == offer_of(*r)) {
            continue;
        }
        if (changed.size() < most) {
            changed.push_back(i % count);
            c.s.scheduler.next_reoffered_runner = i + 1;
        }
        else {
            round.postponed.push_back(r);
        }
    }
    if (round.postponed.empty()) {
        c.s.scheduler.next_reoffered_runner = first + config::reoffered_runners;
    }
    round.is_incomplete = !round.postponed.empty();
    // Of runners with the same score the first is selected, in the order of all runners.
    std::sort(changed.begin(), changed.end());
    for (const std::size_t i : changed) {
        round.changed.push_back(round.runners[i]);
    }
}

placement_round begin_round(const context& c)
{
    ++c.s.scheduler.placement_rounds;
    placement_round round{
        .c = c, .runners = schedulable_runners(c), .changed = {}, .postponed = {}, .rejected = {}};
    find_changed_runners(c, round);
    return round;
}

/// \return the time in which placement may score this many runners on this VM.
millis time_for_scoring(const central_state& s, std::uint64_t runners)
{
    constexpr std::int64_t core{1'000};
    const std::int64_t capacity = s.self.capacity.milli_cores;
    const std::int64_t milli_cores = capacity == 0 ? core : std::min(capacity, core);
    return {static_cast<std::int64_t>(runners) * core /
            (config::max_scored_runners_per_ms * milli_cores)};
}

/// Notes whether leftover tasks still wait: slowing others for services would make them wait
/// longer.
void note_waiting_leftover(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    const auto is_leftover = [&c](const ready_key& key) {
        const task_ref ref = find_task(c.s, {key.job, key.occurrence, key.step, 0});
        return ref && ref.step->uses_leftover;
    };
    if (c.s.self.options.service_headroom &&
        std::any_of(s.ready.begin(), s.ready.end(), is_leftover)) {
        s.leftover_waited_at = c.now;
    }
}

void end_round(placement_round& round, std::size_t visited_steps)
{
    const context& c = round.c;
    scheduler_state& s = c.s.scheduler;
    note_waiting_leftover(c);
    for (auto& [id, r] : s.runners) {
        r.last_offer.reset();
        if (is_schedulable(c, r)) {
            r.last_offer = offer_of(r);
        }
    }
    for (runner_record* const r : round.postponed) {
        r->last_offer.reset();
    }
    const std::uint64_t cost = round.scored_in_vain() + visited_steps * config::step_visit_cost;
    const millis pause = std::min(time_for_scoring(c.s, cost), config::max_placement_pause);
    s.next_placement_at = c.now + pause;
    if (round.is_incomplete) {
        s.placement_due = true;
        c.wake_by(s.next_placement_at);
    }
}

/// \return the best feasible runner, or null. A rejection by all runners is recorded.
runner_record* select_for_task(placement_round& round, const graph_task_id& id, const task_ref& ref,
                               runner_requirement requirement)
{
    step_rejection& rejection = requirement == runner_requirement::best_effort
                                    ? ref.progress->best_effort_rejection
                                    : ref.progress->full_speed_rejection;
    const bool only_changed = round.was_rejected_before(rejection);
    if (!only_changed && round.is_exhausted() && round.selector.may_fit(ref, requirement)) {
        round.is_incomplete = true;
        return runner_selector{round.c}.select_runner(round.changed, id, ref, requirement);
    }
    const auto& candidates = only_changed ? round.changed : round.runners;
    runner_record* const r = round.selector.select_runner(candidates, id, ref, requirement);
    if (r != nullptr) {
        round.scored_for_starts += candidates.size();
        return r;
    }
    rejection.round = round.number();
    if (!only_changed) {
        round.scored_for_rejections += candidates.size();
    }
    return nullptr;
}

void start_task(const context& c, const graph_task_id& id, const task_ref& ref, runner_record& r)
{
    begin_suspect_run(c, id, ref);
    note_reserved_start(c, r, id, ref);
    start_run(c, id, ref, r, next_run_number(c, *ref.task));
}

/// Starts the task if it is ready.
/// \return false if no runner is feasible; then none is feasible for the step's other tasks either.
bool place_task(placement_round& round, const graph_task_id& id,
                runner_requirement requirement = runner_requirement::full_speed)
{
    const context& c = round.c;
    const task_ref ref = find_task(c.s, id);
    const bool is_startable = ref.task->status == task_status::ready && !ref.task->current_run;
    if (!is_startable || may_have_unreported_run(c, ref) || awaits_restart(c, ref) ||
        is_held_back(c, id, ref)) {
        return true;
    }
    runner_record* const r = select_for_task(round, id, ref, requirement);
    if (r == nullptr) {
        return false;
    }
    start_task(c, id, ref, *r);
    return true;
}

/// \return how many of the gang's members fit on the runners at the same time, at most `members`.
std::size_t count_fitting_members(const context& c, const std::vector<runner_record*>& candidates,
                                  graph_task_id id, std::size_t members)
{
    const task_ref ref = find_task(c.s, id);
    for (runner_record* const r : candidates) {
        const std::uint32_t first = id.index;
        ++c.s.scheduler.runners_scored;
        while (id.index < members && is_feasible(c, *r, id, ref, runner_requirement::full_speed)) {
            reserve_for_run(*r, ref, id);
            ++id.index;
            ++c.s.scheduler.runners_scored;
        }
        for (graph_task_id reserved = id; reserved.index > first;) {
            --reserved.index;
            unreserve_run(*r, ref, reserved);
        }
    }
    return id.index;
}

/// \return the runner of each member of a gang of which all members fit.
std::vector<runner_record*> select_for_members(const context& c,
                                               const std::vector<runner_record*>& candidates,
                                               graph_task_id id, std::size_t members)
{
    // The reservations are undone, so what is rejected beside them must not affect other steps.
    runner_selector selector{c};
    std::vector<runner_record*> chosen;
    for (id.index = 0; id.index < members; ++id.index) {
        const task_ref ref = find_task(c.s, id);
        chosen.push_back(selector.select_runner(candidates, id, ref));
        reserve_for_run(*chosen.back(), ref, id);
    }
    for (id.index = 0; id.index < members; ++id.index) {
        unreserve_run(*chosen[id.index], find_task(c.s, id), id);
    }
    return chosen;
}

bool are_members_startable(const context& c, const task_ref& ref, const graph_task_id& id)
{
    for (std::uint32_t i{0}; i < ref.progress->tasks.size(); ++i) {
        graph_task_id member_id = id;
        member_id.index = i;
        const task_ref member = find_task(c.s, member_id);
        const bool is_startable =
            member.task->status == task_status::ready && !member.task->current_run;
        if (!is_startable || may_have_unreported_run(c, member) || awaits_restart(c, member)) {
            return false;
        }
    }
    return true;
}

/// \return an upper bound of the members that fit at the same time, from what is known of earlier
/// rejections and from the changed runners.
std::size_t max_members(const placement_round& round, const task_ref& ref, const graph_task_id& id)
{
    const std::size_t members = ref.progress->tasks.size();
    const std::size_t known = round.selector.max_gang_members(ref);
    const step_rejection& rejection = ref.progress->full_speed_rejection;
    if (known < members || !round.was_rejected_before(rejection)) {
        return known;
    }
    return rejection.max_members +
           count_fitting_members(round.c, round.changed, id, members - rejection.max_members);
}

void reject_gang(placement_round& round, const task_ref& ref, std::size_t max_members)
{
    ref.progress->full_speed_rejection = {round.number(), max_members};
    round.selector.record_rejected_gang(ref, max_members);
}

void start_gang(placement_round& round, const std::vector<runner_record*>& chosen, graph_task_id id)
{
    const context& c = round.c;
    run_number number;
    for (const task_record& task : find_task(c.s, id).progress->tasks) {
        number = std::max(number, next_run_number(c, task));
    }
    for (id.index = 0; id.index < chosen.size(); ++id.index) {
        start_run(c, id, find_task(c.s, id), *chosen[id.index], number);
    }
    round.scored_for_starts += chosen.size() * round.runners.size();
}

/// Starts all members of a gang at once, or none.
void place_gang(placement_round& round, const graph_task_id& id)
{
    const context& c = round.c;
    const task_ref first = find_task(c.s, id);
    if (!are_members_startable(c, first, id)) {
        return;
    }
    const std::size_t members = first.progress->tasks.size();
    if (!is_within_quota(c, first, members)) {
        return;
    }
    const std::size_t bound = max_members(round, first, id);
    if (bound < members) {
        reject_gang(round, first, bound);
        return;
    }
    if (round.is_exhausted()) {
        round.is_incomplete = true;
        return;
    }
    const std::size_t fitting = count_fitting_members(c, round.runners, id, members);
    if (fitting < members) {
        round.scored_for_rejections += round.runners.size() + fitting;
        reject_gang(round, first, fitting);
        return;
    }
    start_gang(round, select_for_members(c, round.runners, id, members), id);
}

/// \return true if the job has had no run for `starvation_timeout`. One of its tasks then starts
/// even on a runner that throttles it.
bool is_starved(const context& c, const job_record& job)
{
    return job.active_runs == 0 && c.now - job.idle_since >= config::starvation_timeout;
}

void start_if_starved(placement_round& round, const graph_task_id& id, const job_record& job)
{
    const context& c = round.c;
    if (!find_task(c.s, id).step->uses_leftover) {
        // It needs the same capacity at best effort.
        return;
    }
    const millis idle = c.now - job.idle_since;
    if (is_starved(c, job) && place_task(round, id, runner_requirement::best_effort)) {
        c.log("starved_job_started",
              {{"task", to_string(id)}, {"idle_ms", std::to_string(idle.count)}});
    }
}

void place_step(placement_round& round, const ready_key& key, step_turns& turns)
{
    graph_task_id id{key.job, key.occurrence, key.step, 0};
    const task_ref first = find_task(round.c.s, id);
    if (!first) {
        return;
    }
    if (first.step->is_gang) {
        place_gang(round, id);
        return;
    }
    const auto& tasks = first.progress->tasks;
    for (id.index = 0; id.index < tasks.size(); ++id.index) {
        const bool is_ready = tasks[id.index].status == task_status::ready &&
                              !round.c.s.scheduler.waiting_services.contains(id);
        if (is_ready && (!is_within_quota(round.c, first) || turns.yields())) {
            return;
        }
        if (is_ready && !place_task(round, id)) {
            round.rejected.push_back(key);
            start_if_starved(round, id, *first.job);
            return;
        }
    }
}

/// Offers the waiting services to the runners of the pass.
/// \return those that no runner can take now.
std::vector<graph_task_id> place_services(const context& c, const service_pass& pass)
{
    runner_selector selector{c};
    std::vector<graph_task_id> rejected;
    for (const graph_task_id& id : startable_services(c)) {
        const task_ref ref = find_task(c.s, id);
        if (!is_within_quota(c, ref)) {
            continue;
        }
        std::uint64_t& rejected_in = ref.progress->services_rejected_in;
        // If no runner is feasible for another task of the step, none is for this one.
        const bool is_rejected = rejected_in == pass.number;
        runner_record* const r =
            is_rejected ? nullptr : selector.select_runner(pass.runners_for(rejected_in), id, ref);
        if (r != nullptr) {
            start_task(c, id, ref, *r);
        }
        else {
            rejected_in = pass.number;
            rejected.push_back(id);
        }
    }
    return rejected;
}

resources total_capacity(const std::vector<runner_record*>& runners)
{
    resources total;
    for (const runner_record* const r : runners) {
        total += r->entry.capacity;
    }
    return total;
}

service_pass begin_service_pass(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    service_pass pass{++s.service_passes, schedulable_runners(c), {}};
    const bool is_full = c.now >= s.full_service_pass_at;
    if (is_full) {
        s.full_service_pass_at = c.now + config::full_service_pass_period;
    }
    std::copy_if(
        pass.runners.begin(), pass.runners.end(), std::back_inserter(pass.changed),
        [is_full](const runner_record* r) { return is_full || !r->is_offered_to_services; });
    return pass;
}

void end_service_pass(const context& c)
{
    for (auto& [id, r] : c.s.scheduler.runners) {
        r.is_offered_to_services = is_schedulable(c, r);
    }
}

/// Places the services that ran before and have no run. Bounds of the rounds do not delay them, but
/// only the cost of having offered them before.
void place_waiting_services(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    if (s.waiting_services.empty() && !s.keeps_room) {
        s.services_due = false;
        return;
    }
    s.services_due = s.services_due || s.placement_due || c.now >= s.services_check_at;
    if (!s.services_due) {
        c.wake_by(s.services_check_at);
        return;
    }
    if (c.now < s.next_services_at) {
        c.wake_by(s.next_services_at);
        return;
    }
    s.services_due = false;
    s.service_pass_began_at = c.now;
    const std::uint64_t scored_before = s.runners_scored;
    const service_pass pass = begin_service_pass(c);
    keep_room(c, pass, place_services(c, pass));
    end_service_pass(c);
    log_waiting_services(c);
    const millis cost = time_for_scoring(c.s, s.runners_scored - scored_before);
    s.next_services_at = c.now + std::min(cost, config::max_placement_pause);
    s.services_check_at = c.now + config::service_check_period;
    c.wake_by(s.services_check_at);
}

} // namespace

void place_ready_tasks(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    if (!c.is_scheduler() || !may_send_orders(c) || c.s.lease.releasing) {
        return;
    }
    count_unreported_runs(c);
    place_waiting_services(c);
    s.placement_due = s.placement_due || must_revise_reservations(c);
    // What is free is theirs first.
    if (!s.placement_due || s.services_due) {
        return;
    }
    const instant next =
        s.has_new_ready
            ? s.next_placement_at
            : std::max(s.next_placement_at, s.last_placement_at + config::placement_interval);
    if (c.now < next) {
        c.wake_by(next);
        return;
    }
    s.placement_due = false;
    s.has_new_ready = false;
    s.last_placement_at = c.now;
    revise_reservations(c);
    if (s.ready.empty()) {
        return;
    }
    s.round_began_at = c.now;
    placement_round round = begin_round(c);
    const std::vector<ready_key> order = steps_by_urgency(c);
    step_turns turns{c, total_capacity(round.runners), order};
    while (const ready_key* const key = turns.next()) {
        place_step(round, *key, turns);
    }
    if (c.s.self.options.lookahead) {
        reserve_room(c, round.runners, round.rejected);
    }
    end_round(round, order.size());
}

void end_step(central_state& s, instant now)
{
    scheduler_state& placed = s.scheduler;
    if (const auto began = std::exchange(placed.round_began_at, std::nullopt)) {
        const millis pause = std::min(now - *began, config::max_pause_after_slow_round);
        placed.next_placement_at = std::max(placed.next_placement_at, now + pause);
    }
    if (const auto began = std::exchange(placed.service_pass_began_at, std::nullopt)) {
        const millis pause = std::min(now - *began, config::max_placement_pause);
        placed.next_services_at = std::max(placed.next_services_at, now + pause);
    }
}

} // namespace cuminmoor::central
