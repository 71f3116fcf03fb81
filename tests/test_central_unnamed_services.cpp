/// \file
/// Entries of the registry whose service nobody has named.
#include <cstddef>
#include <string>

#include <criterion/criterion.h>

#include "central/expectations.h"
#include "central/store/codec.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr std::size_t runners{6};
constexpr std::size_t others{2};
constexpr const char* other_service{"floor-sensors"};
constexpr std::uint64_t jobs{12};

/// The last `others` runners are of a service that no manifest names, and answer nothing.
void register_others(central_world& w)
{
    for (std::size_t i{runners - others}; i < runners; ++i) {
        w.runner(i).entry.service.value = other_service;
        w.faults.unreachable_runners.insert(i);
    }
}

bool knows_others(const central_world& w)
{
    const auto& known = w.state_of(*w.scheduler()).scheduler.runners;
    return known.size() > runners - others;
}

} // namespace

/// Guards against a recovery that waits for agents of another kind until all leases have expired,
/// at each new holder (review/12).
Test(central_unnamed_services, a_new_holder_does_not_wait_for_their_entries)
{
    central_world w{{.runners = runners}};
    register_others(w);
    w.run_for(warm_up);
    for (std::uint64_t n{1}; n <= jobs; ++n) {
        w.submit(0, central_world::make_job(id_of(n), 4, 8, {200}));
    }
    w.run_for({500});
    cr_expect_not(knows_others(w));
    w.stop_gracefully(*w.scheduler());
    w.run_for({3'000});
    cr_assert(w.scheduler().has_value());
    cr_expect_not(knows_others(w));
    cr_expect_not(w.state_of(*w.scheduler()).scheduler.recovering);
    expect_no_violation(w);
}

/// A holder of an earlier version has stored them as runners.
Test(central_unnamed_services, their_stored_rows_are_removed)
{
    central_world w{{.runners = runners}};
    register_others(w);
    for (std::size_t i{runners - others}; i < runners; ++i) {
        const runner_entry& entry = w.runner(i).entry;
        w.put_row({table::used_runners, entry.id.value}, encode_runner(entry));
    }
    w.run_for(warm_up);
    cr_expect(knows_others(w));
    w.run_for({15'000});
    cr_expect_not(knows_others(w));
    w.kill(*w.scheduler());
    w.run_for({6'000});
    cr_expect_not(knows_others(w));
    cr_expect_not(w.state_of(*w.scheduler()).scheduler.recovering);
    expect_no_violation(w);
}

/// The entries of a service that comes into use are used from then on.
Test(central_unnamed_services, entries_are_used_once_a_manifest_names_their_service)
{
    central_world w{{.runners = runners}};
    register_others(w);
    w.faults.unreachable_runners.clear();
    w.run_for(warm_up);
    w.change_manifest([](manifest& m) {
        queue q = m.queues[0];
        q.name.value = "other";
        q.path_prefix = "/other/";
        q.service.value = other_service;
        m.queues.push_back(q);
    });
    w.run_for({500});
    cr_expect(knows_others(w));
    expect_no_violation(w);
}

/// A queue is removed while its job waits: the job still runs on the runners of its service, also
/// after a takeover.
Test(central_unnamed_services, a_waiting_job_names_its_service)
{
    constexpr std::uint64_t job{1};
    central_world w{{.runners = runners}};
    w.run_for(warm_up);
    w.submit(0, central_world::make_job(id_of(job), 4, 8, {1'000}));
    w.run_for({500});
    w.change_manifest([](manifest& m) { m.queues.clear(); });
    w.run_for({100});
    w.kill(*w.scheduler());
    w.run_for({40'000});
    const auto& known = w.state_of(*w.scheduler()).scheduler.jobs;
    cr_expect(known.at(job_id{id_of(job)}).state == job_state::completed);
    expect_no_violation(w);
}
