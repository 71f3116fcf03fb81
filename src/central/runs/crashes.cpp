/// \file
/// Tasks that crash the runners that start them.
///
/// Such a task takes down everything that runs beside it, again and again, so it is held back,
/// longer after each further crash. It is not given up: crashes are evidence, but only an end
/// reported as failed shows that a task has failed. Other tasks on a crashed runner did nothing
/// wrong.
///
/// A run that crashes its runner does so soon after its start. A task whose run had just started
/// when the runner was lost is a suspect. When it starts again it is isolated: if possible on a
/// runner where nothing else has started recently, and nothing else starts there for a while. If
/// this runner crashes too, the crash is attributed to the task. No crash counts for anybody if
/// many runners without such a culprit were lost at the same time, but for tasks that had started
/// immediately before. A run that survives its first moments clears its task.
///
/// The counts are stored with the job's progress, so that a successor continues them. It also
/// counts runs that were lost together with the holder before it: those of suspects and services,
/// whose starts are stored before they are ordered, and those of other tasks that had just started
/// on a runner that the holder had found lost. Each is counted once. So the count is exact but for
/// a first crash that no holder has noticed, and it alone decides how long a task is held back:
/// briefly up to the last crash that users accept, and not anew under each successor.
#include "central/runs/run_parts.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

bool may_have_crashed(const runner_record& r, const run& each)
{
    if (each.has_survived_start || each.awaits_store) {
        return false;
    }
    return !each.started_by ||
           r.last_alive.shown.ms - each.started_by->ms <= config::crash_window.count;
}

bool may_coincide(const runner_loss& a, const runner_loss& b)
{
    return a.alive_at <= b.noticed_at + config::crash_coincidence &&
           b.alive_at <= a.noticed_at + config::crash_coincidence;
}

/// \return the number of other losses at about the same time for which `matches` holds.
template <typename Predicate>
std::size_t count_coinciding(const context& c, const runner_loss& loss, Predicate matches)
{
    const auto& losses = c.s.scheduler.recent_losses;
    return static_cast<std::size_t>(
        std::count_if(losses.begin(), losses.end(), [&](const runner_loss& other) {
            return other.runner != loss.runner && may_coincide(loss, other) && matches(other);
        }));
}

/// \return true if so many other runners were lost at about the same time that they must have an
/// outside cause. Losses with a culprit do not show one. Neither do others if this one followed its
/// culprit's start at once: they are probably tasks that crash their runners, too.
bool has_outside_cause(const context& c, const runner_loss& loss)
{
    const std::size_t others =
        count_coinciding(c, loss, [](const runner_loss& other) { return !other.culprit; });
    const bool are_many =
        others >= config::min_common_losses &&
        others * 100 >= c.s.scheduler.runners.size() * config::min_common_losses_percent;
    if (!are_many || !loss.is_prompt) {
        return are_many;
    }
    const std::size_t unexplained =
        count_coinciding(c, loss, [](const runner_loss& other) { return other.is_unexplained; });
    return unexplained >= config::min_unexplained_losses;
}

void forget_old_losses(const context& c)
{
    // By then the runner has answered or its leases have expired.
    const millis keep_time = longest_lease(c.s) * 2;
    auto& losses = c.s.scheduler.recent_losses;
    while (!losses.empty() && c.now - losses.front().noticed_at > keep_time) {
        losses.pop_front();
    }
}

bool is_proved(const crash_counts& counts)
{
    return counts.attributed >= config::attributed_crashes_to_hold_back ||
           counts.possible >= config::possible_crashes_to_hold_back;
}

std::uint32_t crash_count(const crash_counts& counts)
{
    return std::max(counts.possible, counts.suspected);
}

/// \return true if the task's crashes are so few that others may be to blame. The count of a
/// service includes all crashes. A batch task's first may be missing, unless this holder has seen
/// all of them on one runner, which then is as likely to blame.
/// \param undecided further crashes that may be found.
bool are_crashes_few(const task_ref& ref, std::uint32_t undecided = 0)
{
    const crash_counts& counts = ref.task->crashes;
    const bool is_exact =
        ref.step->is_service || (!ref.job->recovered && !counts.has_crashed_several);
    const std::uint32_t most =
        is_exact ? config::exact_crashes_held_back_briefly : config::crashes_held_back_briefly;
    return crash_count(counts) + undecided <= most;
}

/// \return the time for which a task that seems to crash its runners is held back.
millis hold_back_time(const task_ref& ref)
{
    if (are_crashes_few(ref)) {
        return config::brief_crash_hold_back;
    }
    const bool may_be_last =
        crash_count(ref.task->crashes) > config::exact_crashes_held_back_briefly;
    return may_be_last ? config::crash_hold_back : config::long_crash_hold_back;
}

/// Records on which runner the task crashed.
void note_crashed_runner(crash_counts& counts, const runner_id& runner)
{
    const bool is_first = crash_count(counts) == 0;
    counts.has_crashed_several =
        counts.has_crashed_several || (!is_first && counts.crashed_runner != runner);
    counts.crashed_runner = runner;
}

/// \param crashed_at the last sign of life of the crashed runner, or now if that is not known.
void hold_back_if_proved(const context& c, const graph_task_id& id, const task_ref& ref,
                         instant crashed_at)
{
    crash_counts& counts = ref.task->crashes;
    if (!is_proved(counts)) {
        return;
    }
    const instant since = are_crashes_few(ref) ? crashed_at : c.now;
    counts.held_back_until = since + hold_back_time(ref);
    const millis time = *counts.held_back_until - c.now;
    if (time > millis{0}) {
        c.log("task_held_back", {{"task", to_string(id)},
                                 {"possible_crashes", absl::StrCat(counts.possible)},
                                 {"attributed_crashes", absl::StrCat(counts.attributed)},
                                 {"for_ms", absl::StrCat(time.count)}});
    }
}

/// How a crash counts for a suspect.
enum class crash_blame : std::uint8_t { outside_cause, possible, attributed };

crash_blame blame_for_loss(const context& c, const runner_loss& loss)
{
    if (!has_outside_cause(c, loss)) {
        return loss.culprit ? crash_blame::attributed : crash_blame::possible;
    }
    // If the time of the loss is not known well, others may seem to coincide.
    const bool is_vague = loss.noticed_at - loss.alive_at > config::crash_coincidence;
    return loss.culprit && is_vague ? crash_blame::possible : crash_blame::outside_cause;
}

/// \return how the crash counts for one of its suspects. A start immediately before it is rarely a
/// coincidence, whatever else was lost then.
crash_blame blame_for_suspect(const runner_loss& loss, const graph_task_id& id, crash_blame blame)
{
    const auto& prompt = loss.prompt_suspects;
    const bool is_prompt = std::find(prompt.begin(), prompt.end(), id) != prompt.end();
    return blame == crash_blame::outside_cause && is_prompt ? crash_blame::possible : blame;
}

void count_for_suspect(const context& c, const runner_record& r, const graph_task_id& id,
                       crash_blame blame)
{
    const task_ref ref = find_task(c.s, id);
    const bool is_lost = ref && !ref.task->current_run && ref.task->status != task_status::done;
    if (!is_lost || ref.job->has_ended()) {
        return;
    }
    crash_counts& counts = ref.task->crashes;
    note_crashed_runner(counts, r.entry.id);
    counts.is_suspect = true;
    ++counts.suspected;
    counts.possible += blame == crash_blame::outside_cause ? 0 : 1;
    counts.attributed += blame == crash_blame::attributed ? 1 : 0;
    mark_changed(c, *ref.job);
    c.log("task_suspected", {{"task", to_string(id)},
                             {"runner", r.entry.id.value},
                             {"possible_crashes", absl::StrCat(counts.possible)},
                             {"attributed_crashes", absl::StrCat(counts.attributed)}});
    hold_back_if_proved(c, id, ref, r.last_alive.seen_at);
}

/// Counts a run that was lost together with the holder of the lease. It may have crashed its
/// runner.
void count_lost_with_holder(const context& c, const graph_task_id& id, const task_ref& ref)
{
    crash_counts& counts = ref.task->crashes;
    // So many services may be lost at once that all would have to start isolated.
    counts.is_suspect = counts.is_suspect || counts.possible > 0 || !ref.step->is_service;

    ++counts.possible;
    const runner_id runner = ref.task->placed_on;
    c.log("run_lost_with_holder", {{"task", to_string(id)},
                                   {"runner", runner.value},
                                   {"suspect", counts.is_suspect ? "true" : "false"},
                                   {"possible_crashes", absl::StrCat(counts.possible)},
                                   {"attributed_crashes", absl::StrCat(counts.attributed)}});
}

/// \return true if it is not known yet whether the task's open run has crashed its runner: that has
/// not answered this holder, and as it is still registered, it may only be cut off.
bool is_open_run_undecided(const context& c, const task_ref& ref)
{
    const runner_record* const r = find_runner(c, ref.task->placed_on);
    return ref.task->crashes.has_open_run && r != nullptr && r->listed && !r->is_fenced;
}

/// \return true if the incarnation of the runner on which a run was to start has answered this
/// holder, so that the run has not crashed it: it was stopped, or its start was not ordered.
bool has_outlived_run(const context& c, const task_ref& ref)
{
    const runner_record* const r = find_runner(c, ref.task->placed_on);
    return r != nullptr && r->is_fenced && ref.task->placed_incarnation != 0 &&
           r->entry.started_at_ms == ref.task->placed_incarnation;
}

/// Handles a run that was open when the holder before was lost and that no runner has reported.
/// \return true if it is counted as one that may have crashed its runner.
bool settle_open_run(const context& c, const graph_task_id& id, const task_ref& ref)
{
    if (!std::exchange(ref.task->crashes.has_open_run, false)) {
        return false;
    }
    const bool counts = !has_outlived_run(c, ref);
    if (counts) {
        count_lost_with_holder(c, id, ref);
    }
    // Otherwise the next holder would count it again if the task has not started until then.
    forget_place(c, ref);
    mark_changed(c, *ref.job);
    return counts;
}

/// Stores that the runs of batch tasks may have crashed their runner: if this holder is lost before
/// it knows, its successor counts them.
void mark_open_runs(const context& c, const runner_record& r,
                    const std::vector<graph_task_id>& suspects)
{
    for (const graph_task_id& id : suspects) {
        const task_ref ref = find_task(c.s, id);
        crash_counts& counts = ref.task->crashes;
        const bool is_stored_otherwise = ref.step->is_service || ref.step->is_gang;
        if (!is_stored_otherwise && !counts.has_open_run && !ref.job->has_ended()) {
            counts.has_open_run = true;
            keep_place(c, ref, r);
            mark_changed(c, *ref.job);
        }
    }
}

/// Sets the culprit of a loss: the only suspect if it was isolated, or the only isolated one if the
/// runner was lost at once after its start.
void find_culprit(const context& c, runner_loss& loss, const std::vector<graph_task_id>& suspects)
{
    std::size_t isolated{0};
    for (const graph_task_id& id : suspects) {
        const run& each = *find_task(c.s, id).task->current_run;
        const bool is_prompt = c.now - each.ordered_at <= config::prompt_crash_time;
        if (is_prompt) {
            loss.prompt_suspects.push_back(id);
        }
        if (each.is_isolated) {
            ++isolated;
            loss.culprit = id;
            loss.is_prompt = is_prompt;
        }
    }
    const bool is_certain = isolated == 1 && (suspects.size() == 1 || loss.is_prompt);
    if (!is_certain) {
        loss.culprit.reset();
        loss.is_prompt = false;
    }
}

} // namespace

std::vector<graph_task_id> crash_suspects(const context& c, const runner_record& r)
{
    std::vector<graph_task_id> suspects;
    for (const graph_task_id& id : r.runs) {
        const task_ref ref = find_task(c.s, id);
        if (ref && ref.task->current_run && may_have_crashed(r, *ref.task->current_run)) {
            suspects.push_back(id);
        }
    }
    return suspects;
}

void record_runner_loss(const context& c, runner_record& r)
{
    forget_old_losses(c);
    r.loss.reset();
    if (r.entry.draining) {
        return;
    }
    // A hold that broke shows that the runner was up until then.
    const bool has_broken = r.hold_times_out_at > c.now + config::crash_coincidence;
    const std::vector<graph_task_id> suspects = crash_suspects(c, r);
    runner_loss loss;
    loss.runner = r.entry.id;
    loss.alive_at = has_broken ? c.now : r.last_alive.seen_at;
    loss.noticed_at = c.now;
    loss.is_unexplained = suspects.empty();
    find_culprit(c, loss, suspects);
    mark_open_runs(c, r, suspects);
    r.loss = loss;
    c.s.scheduler.recent_losses.push_back(*r.loss);
}

void count_crash(const context& c, runner_record& r, const std::vector<graph_task_id>& suspects)
{
    if (!r.loss) {
        return;
    }
    const crash_blame blame = blame_for_loss(c, *r.loss);
    for (const graph_task_id& id : suspects) {
        const bool is_blamed = blame != crash_blame::attributed || id == *r.loss->culprit;
        if (is_blamed) {
            count_for_suspect(c, r, id, blame_for_suspect(*r.loss, id, blame));
        }
    }
}

void add_suspects(const context& c, const runner_record& r, unreported_runner& u)
{
    const crash_blame blame = r.loss ? blame_for_loss(c, *r.loss) : crash_blame::outside_cause;
    u.is_attributed = blame == crash_blame::attributed;
    if (u.is_attributed) {
        u.suspects.push_back(*r.loss->culprit);
    }
    else if (blame == crash_blame::possible) {
        u.suspects = crash_suspects(c, r);
    }
    else if (r.loss) {
        u.suspects = r.loss->prompt_suspects;
    }
}

void count_handed_over_crash(const context& c, runner_record& r)
{
    if (!r.has_unreported_runs || !r.told_by_predecessor) {
        return;
    }
    const auto blame =
        r.told_by_predecessor->is_attributed ? crash_blame::attributed : crash_blame::possible;
    for (const graph_task_id& id : std::exchange(r.told_by_predecessor->suspects, {})) {
        if (const task_ref ref = find_task(c.s, id)) {
            // The run is counted here. Otherwise the next holder would count it again, as long as
            // the task has not started.
            ref.task->crashes.has_open_run = false;
            if (!ref.task->current_run && ref.task->placed_on == r.entry.id) {
                forget_place(c, ref);
            }
            count_for_suspect(c, r, id, blame);
        }
    }
}

bool is_held_back(const context& c, const graph_task_id& id, task_ref ref)
{
    crash_counts& counts = ref.task->crashes;
    if (is_open_run_undecided(c, ref)) {
        // If it starts all the same, the crash is counted.
        return !are_crashes_few(ref, 1);
    }
    const bool was_lost_with_holder = settle_open_run(c, id, ref);
    if (!counts.is_suspect) {
        return false;
    }
    // A successor does not know when the last crash was. A task that is only held back briefly
    // starts at once: otherwise each successor would add to the time for which it is missed.
    const bool is_time_known = counts.held_back_until && !was_lost_with_holder;
    if (!is_time_known && !are_crashes_few(ref)) {
        hold_back_if_proved(c, id, ref, c.now);
    }
    const bool is_held = counts.held_back_until && c.now < *counts.held_back_until;
    if (is_held) {
        c.wake_by(*counts.held_back_until);
    }
    return is_held;
}

void begin_suspect_run(const context& c, const graph_task_id& id, task_ref ref)
{
    settle_open_run(c, id, ref);
    if (ref.task->crashes.is_suspect) {
        ref.task->crashes.has_open_run = true;
        mark_changed(c, *ref.job);
    }
}

void end_suspect_run(const context& c, task_ref ref)
{
    if (ref.task->crashes.has_open_run) {
        ref.task->crashes.has_open_run = false;
        mark_changed(c, *ref.job);
    }
}

void clear_suspicion_if_survived(const context& c, const runner_record& r, task_ref ref)
{
    run& current = *ref.task->current_run;
    if (current.has_survived_start || may_have_crashed(r, current)) {
        return;
    }
    current.has_survived_start = true;
    ref.task->has_survived_there = ref.step->is_service;
    if (ref.task->has_survived_there || ref.task->crashes.has_counted()) {
        ref.task->crashes = {};
        if (!ref.step->is_service) {
            forget_place(c, ref);
        }
        mark_changed(c, *ref.job);
    }
}

} // namespace cuminmoor::central
