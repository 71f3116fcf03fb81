/// \file
/// Tasks that crash the runners that start them.
///
/// Such a task takes down everything that runs beside it, again and again, so it is given up. Other
/// tasks on a crashed runner did nothing wrong and must not be. Two things tell them apart: a run
/// that crashes its runner does so soon after its start, and another cause usually hits several
/// runners at once, some of them without a recently started run. A task that may have crashed a
/// runner starts again on a runner where nothing else has started recently, so that the next crash
/// can be attributed.
///
/// The counts are stored with the job's progress, so that a successor continues them.
#include "runs.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

bool may_have_crashed(const runner_record& r, const run& each)
{
    return r.last_alive.seen_at - each.ordered_at <= config::crash_window;
}

bool may_coincide(const runner_loss& a, const runner_loss& b)
{
    return a.after <= b.before + config::crash_coincidence &&
           b.after <= a.before + config::crash_coincidence;
}

bool share_suspect(const runner_loss& a, const runner_loss& b)
{
    return std::any_of(a.suspects.begin(), a.suspects.end(), [&b](const job_id& each) {
        return std::find(b.suspects.begin(), b.suspects.end(), each) != b.suspects.end();
    });
}

/// \return true if the runners lost at about the same time show a cause outside the tasks.
bool has_outside_cause(const context& c, const runner_loss& loss)
{
    const scheduler_state& s = c.s.scheduler;
    std::size_t unrelated{1};
    for (const runner_loss& other : s.recent_losses) {
        if (other.runner == loss.runner || !may_coincide(loss, other)) {
            continue;
        }
        if (other.suspects.empty()) {
            return true;
        }
        unrelated += share_suspect(loss, other) ? 0 : 1;
    }
    return unrelated >= config::min_common_crashes &&
           unrelated * 100 >= s.runners.size() * config::min_common_crashes_percent;
}

/// \return the newest loss of the runner, or null if none is recorded.
const runner_loss* last_loss(const context& c, const runner_id& runner)
{
    const auto& losses = c.s.scheduler.recent_losses;
    const auto found =
        std::find_if(losses.rbegin(), losses.rend(),
                     [&runner](const runner_loss& each) { return each.runner == runner; });
    return found == losses.rend() ? nullptr : &*found;
}

void forget_old_losses(const context& c)
{
    // By then the runner has answered or its leases have expired.
    const millis keep_time = longest_lease(c.s) * 2;
    auto& losses = c.s.scheduler.recent_losses;
    while (!losses.empty() && c.now - losses.front().before > keep_time) {
        losses.pop_front();
    }
}

void count_for_task(const context& c, const runner_record& r, const graph_task_id& id,
                    bool is_only_suspect)
{
    const task_ref ref = find_task(c.s, id);
    const bool is_lost = ref && !ref.task->current_run && ref.task->status != task_status::done;
    if (!is_lost || ref.job->has_ended()) {
        return;
    }
    ++ref.task->crashes;
    mark_changed(c, *ref.job);
    c.log("task_suspected", {{"task", to_string(id)},
                             {"runner", r.entry.id.value},
                             {"crashes", absl::StrCat(ref.task->crashes)},
                             {"only_suspect", is_only_suspect ? "true" : "false"}});
    const std::uint32_t limit = config::crashes_to_give_up + (is_only_suspect ? 0 : 1);
    if (ref.task->crashes >= limit) {
        end_job(c, *ref.job, job_state::failed,
                absl::StrCat("task ", to_string(id), " crashed ", ref.task->crashes, " runners"));
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

void record_runner_loss(const context& c, const runner_record& r)
{
    forget_old_losses(c);
    if (r.entry.draining) {
        return;
    }
    runner_loss loss{r.entry.id, r.last_alive.seen_at, c.now, {}};
    for (const graph_task_id& id : crash_suspects(c, r)) {
        loss.suspects.push_back(id.job);
    }
    c.s.scheduler.recent_losses.push_back(std::move(loss));
}

void count_crash(const context& c, const runner_record& r,
                 const std::vector<graph_task_id>& suspects)
{
    const runner_loss* const loss = last_loss(c, r.entry.id);
    if (loss == nullptr || r.entry.draining || has_outside_cause(c, *loss)) {
        return;
    }
    for (const graph_task_id& id : suspects) {
        count_for_task(c, r, id, suspects.size() == 1);
    }
}

} // namespace cuminmoor::central
