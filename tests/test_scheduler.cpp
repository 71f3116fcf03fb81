/// \file
/// One scheduler with in-memory fakes of the table and one worker.
#include <criterion/criterion.h>

#include "cuminmoor/config.h"
#include "cuminmoor/inbox.h"
#include "cuminmoor/reducer.h"
#include "scenario/fake_table.h"
#include "scenario/fake_worker.h"

namespace cm = cuminmoor;

namespace {

/// One entry VM and one worker; every effect is answered immediately.
class single_worker_cluster {
public:
    cm::scenario::fake_table table;
    cm::scenario::fake_worker worker;
    cm::state s;
    bool store_available{true};

    single_worker_cluster() { s.self = {{"a1"}, {"a"}, 1}; }

    void submit(const char* id, std::uint32_t tasks)
    {
        cm::job_spec spec;
        spec.id = {id};
        spec.team = {"kente"};
        spec.tasks = tasks;
        spec.task_size = {16'000, 512, 0};
        spec.command = "run 3000";
        (void)table.commit(
            {{}, {{cm::inbox_job_key({"a"}, spec.id), cm::encode_inbox_job({spec, 7, {"n"}})}}});
    }

    void run(cm::millis d)
    {
        const cm::instant end = now_ + d;
        for (; now_ < end; now_ = now_ + cm::config::tick_period) {
            handle(cm::tick{});
        }
    }

    void handle(const cm::event& e)
    {
        for (const auto& f : reducer_.step(s, e, now_)) {
            std::visit([this](const auto& body) { execute(body); }, f.body);
        }
    }

    [[nodiscard]] cm::task_totals totals(const char* job)
    {
        const auto text = table.value_of(cm::job_summary_key({job}, {"a"}));
        return text ? cm::decode_job_summary(*text)->totals : cm::task_totals{};
    }

private:
    void execute(const cm::store_commit& f)
    {
        if (!store_available) {
            handle(cm::store_committed{f.token, cm::store_outcome::unavailable, 0});
            return;
        }
        const auto revision = table.commit(f.body);
        handle(cm::store_committed{f.token,
                                   revision ? cm::store_outcome::ok : cm::store_outcome::conflict,
                                   revision.value_or(0)});
    }
    void execute(const cm::store_read& f)
    {
        handle(cm::store_read_done{f.token, store_available, now_, table.read(f)});
    }
    void execute(const cm::object_put& f)
    {
        table.objects[f.key] = f.body;
        handle(cm::object_done{f.token, true, {}});
    }
    void execute(const cm::object_get& f)
    {
        const auto found = table.objects.find(f.key);
        handle(cm::object_done{f.token, true,
                               found == table.objects.end() ? std::nullopt
                                                            : std::optional{found->second}});
    }
    void execute(const cm::worker_sync& f)
    {
        handle(cm::worker_synced{f.worker, true, now_, worker.handle(f, now_)});
    }
    void execute(const cm::vm_list_read& /*f*/)
    {
        const cm::vm_entry vm{{"w1"}, cm::vm_role::worker, cm::vm_phase::live, {"a"}, "", "", {}};
        handle(cm::vm_list_done{true, {vm}});
    }
    template <typename Other>
    void execute(const Other& /*f*/)
    {
    }

    cm::policy_set policies_{cm::make_first_fit_policies()};
    cm::reducer reducer_{policies_};
    cm::instant now_{1'000};
};

} // namespace

Test(scheduler, runs_job_to_completion)
{
    single_worker_cluster w;
    w.submit("j", 6);
    w.run(cm::millis{2'000});
    cr_assert_eq(w.s.scheduler.lease.role, cm::lease_role::holder);
    cr_assert_eq(w.worker.attempts.size(), 4, "the worker VM has room for four tasks");
    w.run(cm::millis{10'000});
    cr_assert_eq(w.totals("j").in(cm::task_phase::finished), 6);
    cr_assert(w.worker.attempts.empty());
    cr_assert_eq(w.s.counters.get("scheduler.record_skipped"), 0);
}
