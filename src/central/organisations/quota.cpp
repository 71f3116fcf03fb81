/// \file
/// Counts what organisations have running, from the reservations of their runs: from before a start
/// is ordered until the run has certainly ended, so also while it is being stopped and on runners
/// that do not answer.
#include "central/organisations/quota.h"

#include "absl/strings/str_cat.h"
#include "central/lease/handover.h"
#include "central/parts.h"
#include "dominant_share.h"

namespace cuminmoor::central {

namespace {

resources times(const resources& size, std::size_t tasks)
{
    const auto count = static_cast<std::int64_t>(tasks);
    return {size.milli_cores * count, size.memory_mib * count, size.accelerators * count};
}

/// Logs the first wait of an organisation, and then one at most in each period.
void note_wait(const context& c, organisation_use& use, const task_ref& ref)
{
    if (!count_wait(c, use.quota)) {
        return;
    }
    c.log("quota_reached", {{"organisation", use.settings.name.value},
                            {"job", ref.job->spec.id.value},
                            {"running_milli_cores", absl::StrCat(use.running.milli_cores)},
                            {"quota_milli_cores", absl::StrCat(use.settings.quota.milli_cores)},
                            {"running_mib", absl::StrCat(use.running.memory_mib)},
                            {"quota_mib", absl::StrCat(use.settings.quota.memory_mib)},
                            {"unreported_milli_cores", absl::StrCat(use.unreported.milli_cores)},
                            {"waits", absl::StrCat(use.quota.waits)}});
}

/// Adds what may run of a recovered job unreported: any task that is not done, also of steps that
/// are blocked, as the holder before may have known of ends that are not stored.
void add_unreported_runs(const context& c, job_record& job, organisation_use& use)
{
    for (occurrence_record& o : job.occurrences) {
        for (std::size_t i{0}; i < o.steps.size(); ++i) {
            for (task_record& task : o.steps[i].tasks) {
                const task_ref ref{&job, &job.spec.steps[i], 0, &o, &o.steps[i], &task};
                const bool may_run = task.status != task_status::done && !task.current_run;
                if (may_run && may_have_unreported_run(c, ref)) {
                    use.unreported += ref.step->task_size;
                }
            }
        }
    }
}

} // namespace

organisation_use* find_use(const context& c, const job_record& job)
{
    if (job.owner.name.empty()) {
        return nullptr;
    }
    auto& organisations = c.s.scheduler.organisations;
    const auto found = organisations.find(job.owner.name);
    return found == organisations.end() ? nullptr : &found->second;
}

bool count_wait(const context& c, wait_count& count)
{
    ++count.waits;
    if (count.logged_at && c.now - *count.logged_at < config::organisation_wait_log_period) {
        return false;
    }
    count.logged_at = c.now;
    return true;
}

organisation owner_of(const context& c, const organisation_id& name)
{
    const organisation* const found = find_organisation(c.s.operators.newest, name);
    organisation unlisted;
    unlisted.name = name;
    return found == nullptr ? unlisted : *found;
}

void add_owner(const context& c, const job_record& job)
{
    if (job.owner.name.empty()) {
        return;
    }
    const auto [added, is_new] = c.s.scheduler.organisations.try_emplace(job.owner.name);
    if (is_new) {
        const organisation* const known = find_organisation(c.s.operators.newest, job.owner.name);
        added->second.settings = known == nullptr ? job.owner : *known;
    }
}

void refresh_organisations(const context& c)
{
    for (auto& [name, use] : c.s.scheduler.organisations) {
        if (const organisation* const known = find_organisation(c.s.operators.newest, name)) {
            use.settings = *known;
        }
    }
}

void add_to_use(const context& c, const task_ref& ref)
{
    if (organisation_use* const use = find_use(c, *ref.job)) {
        use->running += ref.step->task_size;
    }
}

void remove_from_use(const context& c, const task_ref& ref)
{
    if (organisation_use* const use = find_use(c, *ref.job)) {
        use->running -= ref.step->task_size;
    }
}

bool is_within_quota(const context& c, const task_ref& ref, std::size_t tasks)
{
    organisation_use* const use = find_use(c, *ref.job);
    if (use == nullptr) {
        return true;
    }
    const resources used = use->running + use->unreported;
    const resources wanted = times(ref.step->task_size, tasks);
    // One that is larger than the quota would never start otherwise.
    const bool is_only_task = tasks == 1 && used == resources{};
    if (is_only_task || cuminmoor::is_within_quota(used + wanted, use->settings.quota)) {
        return true;
    }
    note_wait(c, *use, ref);
    return false;
}

void count_unreported_runs(const context& c)
{
    scheduler_state& s = c.s.scheduler;
    if (s.organisations.empty() || c.now < s.next_unreported_count_at) {
        return;
    }
    s.next_unreported_count_at = s.recovering ? c.now + config::unreported_count_period : never;
    for (auto& [name, use] : s.organisations) {
        use.unreported = {};
    }
    if (!s.recovering) {
        return;
    }
    for (auto& [id, job] : s.jobs) {
        organisation_use* const use = find_use(c, job);
        if (use != nullptr && job.recovered && !job.has_ended()) {
            add_unreported_runs(c, job, *use);
        }
    }
}

} // namespace cuminmoor::central
