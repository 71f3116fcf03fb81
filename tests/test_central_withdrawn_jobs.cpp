/// \file
/// Jobs that are cancelled before their submission arrives: they never run, whoever holds the lease
/// when it does.
#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

const std::string the_job{id_of(1)};

graph_job lasting_job()
{
    graph_job job = central_world::make_job(the_job, 1, 2, {60'000});
    job.steps[0].is_service = true;
    return job;
}

/// A VM that does not schedule is frozen when it gets a submission; the caller cancels the job
/// through another VM.
struct withdrawal {
    central_world w{{}};
    std::size_t holder{0};
    std::size_t frozen{0};
    std::size_t other{0};

    withdrawal()
    {
        w.run_for(warm_up);
        holder = *w.scheduler();
        frozen = (holder + 1) % 3;
        other = (holder + 2) % 3;
    }

    void submit_to_frozen(millis freeze)
    {
        w.freeze(frozen, freeze);
        w.submit(frozen, lasting_job());
    }

    void cancel_acknowledged()
    {
        w.cancel(other, the_job);
        w.run_for({200});
        cr_assert(w.caller(the_job).cancel_acknowledged_at.has_value());
    }

    std::optional<job_state> shown()
    {
        w.query(other, the_job);
        w.run_for({200});
        return w.caller(the_job).shown;
    }

    void expect_it_never_runs()
    {
        w.run_for({10'000});
        cr_expect_eq(w.starts(), 0);
        cr_expect(shown() != job_state::queued && shown() != job_state::running);
        expect_no_violation(w);
    }
};

} // namespace

/// Guards against a job that runs although its cancellation was acknowledged, as a frozen VM reads
/// its submission later (review/9, UNASKED).
Test(central_withdrawn_jobs,
     submission_that_a_frozen_vm_reads_after_the_cancellation_starts_nothing)
{
    withdrawal t;
    t.submit_to_frozen({3'500});
    t.w.run_for({250});
    t.cancel_acknowledged();
    t.expect_it_never_runs();
    // The caller may have stayed: the job was taken and is cancelled.
    cr_expect(t.w.caller(the_job).was_accepted);
    cr_expect(t.shown() == job_state::cancelled);
}

Test(central_withdrawn_jobs, the_next_holder_knows_of_the_cancellation)
{
    for (const bool is_planned : {false, true}) {
        withdrawal t;
        t.submit_to_frozen({9'000});
        t.w.run_for({250});
        t.cancel_acknowledged();
        is_planned ? t.w.stop_gracefully(t.holder) : t.w.kill(t.holder);
        t.w.run_for({8'000});
        cr_assert(t.w.scheduler() == t.other);
        t.expect_it_never_runs();
    }
}

/// The holder had the job already, could not store it, and dropped it with its cancellation.
Test(central_withdrawn_jobs, cancellation_of_a_refused_job_is_not_forgotten)
{
    withdrawal t;
    t.submit_to_frozen({6'000});
    t.w.faults.refused_commits = 1;
    t.w.submit(t.holder, lasting_job());
    t.w.run_for({50});
    t.w.cancel(t.other, the_job);
    t.w.run_for({1'500});
    t.w.faults.refused_commits = 0;
    t.w.run_for({1'000});
    cr_assert(t.w.caller(the_job).cancel_acknowledged_at.has_value());
    t.expect_it_never_runs();
}

/// An acknowledgement promises that the job never starts, so it waits for the store.
Test(central_withdrawn_jobs, cancellation_of_an_unknown_job_is_acknowledged_once_it_is_stored)
{
    withdrawal t;
    t.submit_to_frozen({4'000});
    t.w.faults.store_is_down = true;
    t.w.run_for({100});
    t.w.cancel(t.other, the_job);
    t.w.run_for({1'500});
    cr_expect_not(t.w.caller(the_job).cancel_acknowledged_at.has_value());
    t.w.faults.store_is_down = false;
    t.w.run_for({1'000});
    cr_expect(t.w.caller(the_job).cancel_acknowledged_at.has_value());
    t.expect_it_never_runs();
}

Test(central_withdrawn_jobs, job_that_nobody_submitted_is_not_shown)
{
    withdrawal t;
    t.cancel_acknowledged();
    cr_expect_not(t.shown().has_value());
    for (std::size_t vm{0}; vm < 3; ++vm) {
        t.w.kill(vm);
        t.w.restart(vm);
    }
    t.w.run_for({8'000});
    cr_expect_not(t.shown().has_value());
    expect_no_violation(t.w);
}
