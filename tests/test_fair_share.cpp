/// \file
/// Order of teams by weighted dominant share, and team quotas.
#include <criterion/criterion.h>

#include "../src/fair_share.h"

namespace cm = cuminmoor;

namespace {

constexpr cm::resources total{64'000, 256'000, 8};

void admit(cm::ledger& job_ledger, const std::string& job, const std::string& team,
           std::uint32_t tasks, const cm::resources& size,
           cm::work_class kind = cm::work_class::batch)
{
    cm::job_admitted record;
    record.spec.id = {job};
    record.spec.team = {team};
    record.spec.kind = kind;
    record.spec.tasks = tasks;
    record.spec.task_size = size;
    cr_assert(cm::apply_record(job_ledger, record).ok());
}

/// Takes `n` tasks in order, reporting each as placed.
/// \return the number of tasks by team.
std::map<std::string, int> take(cm::fair_share_order& order, const cm::ledger& job_ledger, int n)
{
    std::map<std::string, int> taken;
    for (int i = 0; i < n; ++i) {
        const auto key = order.next();
        if (!key) {
            break;
        }
        order.on_placed(*key);
        ++taken[job_ledger.jobs.at(key->task.job).spec.team.value];
    }
    return taken;
}

} // namespace

Test(fair_share, equal_weights_alternate_regardless_of_admission)
{
    cm::ledger job_ledger;
    admit(job_ledger, "a", "kente", 100, {1'000, 1'000, 0});
    admit(job_ledger, "b", "blank", 100, {1'000, 1'000, 0});
    cm::fair_share_order order{job_ledger, {}, total};
    auto taken = take(order, job_ledger, 40);
    cr_assert_eq(taken["kente"], 20);
    cr_assert_eq(taken["blank"], 20);
}

Test(fair_share, share_is_proportional_to_weight)
{
    cm::ledger job_ledger;
    admit(job_ledger, "a", "kente", 100, {1'000, 1'000, 0});
    admit(job_ledger, "b", "blank", 100, {1'000, 1'000, 0});
    cm::configuration teams;
    teams.teams[{"kente"}] = {{"kente"}, 3, {}};
    cm::fair_share_order order{job_ledger, teams, total};
    auto taken = take(order, job_ledger, 40);
    cr_assert_eq(taken["kente"], 30);
    cr_assert_eq(taken["blank"], 10);
}

Test(fair_share, share_uses_dominant_resource)
{
    cm::ledger job_ledger;
    // One of 8 accelerators is the same share as 8 of 64 cores.
    admit(job_ledger, "a", "kente", 100, {1'000, 1'000, 1});
    admit(job_ledger, "b", "blank", 100, {1'000, 1'000, 0});
    cm::fair_share_order order{job_ledger, {}, total};
    auto taken = take(order, job_ledger, 18);
    cr_assert_eq(taken["kente"], 2);
    cr_assert_eq(taken["blank"], 16);
}

Test(fair_share, team_at_quota_is_skipped)
{
    cm::ledger job_ledger;
    admit(job_ledger, "a", "kente", 100, {1'000, 1'000, 0});
    admit(job_ledger, "b", "blank", 5, {1'000, 1'000, 0});
    cm::configuration teams;
    teams.teams[{"kente"}] = {{"kente"}, 1, {3'000, 0, 0}};
    cm::fair_share_order order{job_ledger, teams, total};
    auto taken = take(order, job_ledger, 100);
    cr_assert_eq(taken["kente"], 3);
    cr_assert_eq(taken["blank"], 5);
}

Test(fair_share, latency_critical_tasks_come_first)
{
    cm::ledger job_ledger;
    admit(job_ledger, "a", "kente", 3, {1'000, 1'000, 0});
    admit(job_ledger, "b", "blank", 2, {1'000, 1'000, 0}, cm::work_class::latency_critical);
    cm::fair_share_order order{job_ledger, {}, total};
    auto taken = take(order, job_ledger, 2);
    cr_assert_eq(taken["blank"], 2);
}
