/// \file
/// Tests of applying log records to a ledger, and of the JSON encodings of records and rows.
#include <criterion/criterion.h>

#include "cuminmoor/inbox.h"
#include "cuminmoor/job.h"
#include "cuminmoor/lease.h"

namespace cm = cuminmoor;

namespace {

cm::job_spec spec_of(const char* id, std::uint32_t tasks)
{
    cm::job_spec spec;
    spec.id = {id};
    spec.team = {"kente"};
    spec.tasks = tasks;
    spec.task_size = {1'000, 512, 0};
    spec.command = "run 1000";
    return spec;
}

cm::task_assigned assign(const char* job, std::uint32_t index, std::uint32_t attempt)
{
    return {{{job}, index}, attempt, {"w1"}, "1", {1'000, 512, 0}, {2'000, 4'096, 0}, {5'000}};
}

bool apply(cm::ledger& job_ledger, const cm::ledger_record& record)
{
    return cm::apply_record(job_ledger, record).ok();
}

} // namespace

Test(ledger, counts_each_task_once)
{
    cm::ledger job_ledger;
    cr_assert(apply(job_ledger, cm::job_admitted{spec_of("j", 2), 7}));
    cr_assert(!apply(job_ledger, cm::job_admitted{spec_of("j", 2), 7}));
    cr_assert(apply(job_ledger, assign("j", 0, 1)));
    cr_assert(apply(job_ledger, cm::task_finished{{{"j"}, 0}, 1}));
    cr_assert(!apply(job_ledger, cm::task_finished{{{"j"}, 0}, 1}));
    cr_assert_eq(job_ledger.jobs.at({"j"}).totals.in(cm::task_phase::finished), 1);
    cr_assert(job_ledger.committed.empty());
    cr_assert_eq(job_ledger.waiting.size(), 1);
}

Test(ledger, rejects_assignment_beyond_vm_capacity)
{
    cm::ledger job_ledger;
    cr_assert(apply(job_ledger, cm::job_admitted{spec_of("j", 3), 7}));
    cr_assert(apply(job_ledger, assign("j", 0, 1)));
    cr_assert(apply(job_ledger, assign("j", 1, 1)));
    cr_assert(!apply(job_ledger, assign("j", 2, 1)));
    cr_assert_eq(job_ledger.committed.at({"w1"}).milli_cores, 2'000);
}

Test(ledger, cancelled_tasks_hold_their_resources_until_released)
{
    cm::ledger job_ledger;
    cr_assert(apply(job_ledger, cm::job_admitted{spec_of("j", 2), 7}));
    cr_assert(apply(job_ledger, assign("j", 0, 1)));
    cr_assert(apply(job_ledger, cm::job_cancelled{{"j"}}));
    cr_assert(job_ledger.waiting.empty());
    cr_assert_eq(job_ledger.committed.at({"w1"}).milli_cores, 1'000);
    cr_assert(
        apply(job_ledger, cm::task_released{{{"j"}, 0}, 1, cm::release_cause::cancelled, ""}));
    cr_assert(job_ledger.jobs.at({"j"}).has_ended());
    cr_assert_eq(job_ledger.jobs.at({"j"}).totals.in(cm::task_phase::cancelled), 2);
}

Test(ledger, moved_task_can_return)
{
    cm::ledger job_ledger;
    cr_assert(apply(job_ledger, cm::job_admitted{spec_of("j", 1), 7}));
    cr_assert(apply(job_ledger, cm::task_moved_out{{{"j"}, 0}, {"b"}}));
    cr_assert(job_ledger.waiting.empty());
    cr_assert(apply(job_ledger, cm::task_moved_in{spec_of("j", 1), 7, {{"j"}, 0}, 4, "ck"}));
    cr_assert(!apply(job_ledger, cm::task_moved_in{spec_of("j", 1), 7, {{"j"}, 0}, 4, "ck"}));
    cr_assert(apply(job_ledger, assign("j", 0, 5)));
    cr_assert_eq(job_ledger.jobs.at({"j"}).tasks.at(0).checkpoint, "ck");
}

Test(ledger, shrinking_a_service_stops_its_highest_tasks)
{
    cm::ledger job_ledger;
    cr_assert(apply(job_ledger, cm::service_sized{spec_of("s", 2)}));
    cr_assert(apply(job_ledger, assign("s", 0, 1)));
    cr_assert(apply(job_ledger, assign("s", 1, 1)));
    cr_assert(apply(job_ledger, cm::service_sized{spec_of("s", 1)}));
    cr_assert(job_ledger.jobs.at({"s"}).tasks.at(1).current_assignment->stopping);
    for (std::uint32_t i = 0; i < 2; ++i) {
        const cm::task_released ended{{{"s"}, i}, 1, cm::release_cause::service_ended, ""};
        cr_assert(apply(job_ledger, ended));
    }
    cr_assert_eq(job_ledger.waiting.size(), 1,
                 "the task that the service still needs starts again");
    cr_assert(apply(job_ledger, cm::service_sized{spec_of("s", 2)}));
    cr_assert_eq(job_ledger.waiting.size(), 2);
}

Test(ledger, round_trips_through_json)
{
    cm::ledger job_ledger;
    const std::vector<cm::ledger_record> records{
        cm::job_admitted{spec_of("j", 5), 7},
        assign("j", 0, 1),
        assign("j", 1, 1),
        cm::task_stop_ordered{{{"j"}, 0}, 1, cm::release_cause::domain_out},
        cm::task_released{{{"j"}, 1}, 1, cm::release_cause::failed, "ck"},
        cm::task_moved_out{{{"j"}, 2}, {"b"}},
        cm::task_moved_in{spec_of("k", 9), 8, {{"k"}, 3}, 2, "ck2"},
        cm::job_cancelled{{"k"}},
        cm::service_sized{spec_of("service.s.a", 3)},
    };
    const auto decoded = cm::decode_records(cm::encode_records(records));
    cr_assert(decoded.ok());
    for (const auto& record : *decoded) {
        cr_assert(apply(job_ledger, record));
    }
    const std::string text = cm::encode_ledger(job_ledger);
    const auto again = cm::decode_ledger(text);
    cr_assert(again.ok());
    cr_assert_eq(cm::encode_ledger(*again), text);
    cr_assert(again->committed == job_ledger.committed);
    cr_assert(again->waiting == job_ledger.waiting);
    cr_assert(again->tasks_by_worker == job_ledger.tasks_by_worker);
    cr_assert(again->jobs.at({"j"}).totals == job_ledger.jobs.at({"j"}).totals);
}

Test(ledger, malformed_json_is_rejected)
{
    cr_assert(!cm::decode_records("[{\"k\":\"job_admitted\"}]").ok());
    cr_assert(!cm::decode_records("{").ok());
    cr_assert(!cm::decode_ledger("[]").ok());
    cr_assert(!cm::decode_job("{\"id\":5,\"team\":\"t\"}").ok());
    cr_assert(!cm::decode_job("{\"id\":\"a/b\",\"team\":\"t\",\"task_size\":{}}").ok());
    cr_assert(!cm::decode_job("{\"id\":\"a\",\"team\":\"t\",\"tasks\":0,\"task_size\":{}}").ok());
    cr_assert(!cm::decode_lease("{\"holder\":1}").ok());
    cr_assert(!cm::decode_inbox_job("null").ok());
    cr_assert(!cm::decode_job_summary("{}").ok());
}
