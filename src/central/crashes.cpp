/// \file
/// Tasks that crash the runners that start them.
///
/// Such a task takes down everything that runs beside it, again and again, so it is given up. Other
/// tasks on a crashed runner did nothing wrong and must not be. Two things tell them apart: a run
/// that crashes its runner does so soon after its start, and another cause usually hits several
/// runners at once, some of them without a recently started run.
///
/// A task that may have crashed a runner is a suspect. It is isolated when it starts again: on a
/// runner where nothing else has started recently, and where nothing else starts for a while. The
/// next crash can then be attributed to it, also if other suspects crash runners at the same time.
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

/// \return true if the runners lost at about the same time show a cause outside the tasks. Losses
/// that an isolated suspect explains show nothing.
bool has_outside_cause(const context& c, const runner_loss& loss)
{
    const scheduler_state& s = c.s.scheduler;
    std::size_t unrelated{loss.is_attributed ? 0U : 1U};
    for (const runner_loss& other : s.recent_losses) {
        if (other.runner == loss.runner || other.is_attributed || !may_coincide(loss, other)) {
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

/// What a crash says about a suspect.
struct suspicion {
    /// The crash is held against it.
    bool counts{false};
    bool is_only_suspect{false};
};

void suspect_task(const context& c, const runner_record& r, const graph_task_id& id, task_ref ref,
                  suspicion how)
{
    ref.task->is_suspect = true;
    ref.task->crashes += how.counts ? 1 : 0;
    c.log("task_suspected", {{"task", to_string(id)},
                             {"runner", r.entry.id.value},
                             {"crashes", absl::StrCat(ref.task->crashes)},
                             {"counts", how.counts ? "true" : "false"},
                             {"only_suspect", how.is_only_suspect ? "true" : "false"}});
    if (!how.counts) {
        return;
    }
    mark_changed(c, *ref.job);
    const std::uint32_t limit = config::crashes_to_give_up + (how.is_only_suspect ? 0 : 1);
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
    runner_loss loss{r.entry.id, r.last_alive.seen_at, c.now, {}, false};
    const std::vector<graph_task_id> suspects = crash_suspects(c, r);
    for (const graph_task_id& id : suspects) {
        loss.suspects.push_back(id.job);
    }
    loss.is_attributed =
        suspects.size() == 1 && find_task(c.s, suspects[0]).task->current_run->is_isolated;
    c.s.scheduler.recent_losses.push_back(std::move(loss));
}

void count_crash(const context& c, const runner_record& r,
                 const std::vector<graph_task_id>& suspects)
{
    const runner_loss* const loss = last_loss(c, r.entry.id);
    if (loss == nullptr || r.entry.draining) {
        return;
    }
    const suspicion how{!has_outside_cause(c, *loss), suspects.size() == 1};
    for (const graph_task_id& id : suspects) {
        const task_ref ref = find_task(c.s, id);
        const bool is_lost = ref && !ref.task->current_run && ref.task->status != task_status::done;
        if (is_lost && !ref.job->has_ended()) {
            suspect_task(c, r, id, ref, how);
        }
    }
}

} // namespace cuminmoor::central
