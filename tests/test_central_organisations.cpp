/// \file
/// Organisations: whose credentials are in force, and quotas at each start, also across losses of
/// runners and holders of the lease.
#include <cstdlib>
#include <random>

#include <criterion/criterion.h>

#include "central/entry/credentials.h"
#include "central/expectations.h"
#include "cuminmoor/central/peer_codec.h"
#include "wire.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

const organisation_id org_a{"org-a"};
const credential key_a{"key of a"};

/// The size of a task in `central_world::make_job`.
constexpr resources task_size{2'000, 1'000, 0};

void set_organisations(manifest& m, const resources& quota_of_a)
{
    m.organisations = {{org_a, 1, quota_of_a}, {{"org-b"}, 1, {}}};
    m.credentials = {{key_a, org_a}, {{"key of b"}, {"org-b"}}};
}

/// Of organisation a this many tasks may run at a time.
struct quota_world : central_world {
    explicit quota_world(std::int64_t tasks, const world_options& options = {})
        : central_world{options}
    {
        change_manifest([&](manifest& m) {
            set_organisations(m, {tasks * task_size.milli_cores, 0, 0});
        });
        run_for(warm_up);
    }
};

void submit(central_world& w, std::size_t vm, const graph_job& job, const credential& key = key_a)
{
    w.keys[job.id.value] = key;
    w.submit(vm, job);
}

std::int64_t running_tasks_of_a(const central_world& w)
{
    return w.running_of(org_a).milli_cores / task_size.milli_cores;
}

/// Runs the world in small steps.
/// \return the most tasks of organisation a that ran at a time.
std::int64_t most_running(central_world& w, millis time)
{
    std::int64_t most{0};
    const instant end = w.now() + time;
    while (w.now() < end) {
        w.run_for({10});
        most = std::max(most, running_tasks_of_a(w));
    }
    return most;
}

manifest two_queues()
{
    manifest m;
    m.version = 1;
    queue q;
    q.host = "h";
    q.path_prefix = "/q/";
    m.queues.push_back(q);
    q.path_prefix = "/open/";
    q.is_public = true;
    m.queues.push_back(q);
    set_organisations(m, {});
    return m;
}

call_result result_of(const manifest& m, const char* path, const credential& key)
{
    return check_caller(m, "h", path, key).result;
}

} // namespace

Test(central_organisations, credentials_decide_who_may_call)
{
    manifest m = two_queues();
    cr_assert_eq(result_of(m, "/q/1", key_a), call_result::accepted);
    cr_assert_eq(check_caller(m, "h", "/q/1", key_a).organisation, org_a);
    cr_assert_eq(result_of(m, "/q/1", {}), call_result::unauthenticated);
    cr_assert_eq(result_of(m, "/q/1", {"key of"}), call_result::unauthenticated);
    cr_assert_eq(result_of(m, "/open/1", {}), call_result::accepted);
    cr_assert_eq(result_of(m, "/open/1", {"any"}), call_result::accepted);
    cr_assert_eq(result_of(m, "/none/1", {}), call_result::unknown_queue);
    m.organisations.reset();
    m.credentials.clear();
    cr_assert_eq(result_of(m, "/q/1", {}), call_result::accepted);
}

Test(central_organisations, the_newest_known_manifest_decides)
{
    central_state s;
    const auto learn = [&s](const manifest& m) {
        (void)reduce(s, operator_changed{{m, {}}}, {1}, {0});
    };
    cr_assert_eq(check_caller(s, "h", "/q/1", key_a), call_result::unavailable);
    const manifest first = two_queues();
    learn(first);
    cr_assert_eq(check_caller(s, "h", "/q/1", key_a), call_result::accepted);
    manifest second = first;
    second.version = 5;
    second.credentials.erase(key_a);
    learn(second);
    (void)reduce(s, store_reachable{false}, {2}, {0});
    cr_assert_eq(check_caller(s, "h", "/q/1", key_a), call_result::unauthenticated);
    learn(first);
    cr_assert_eq(check_caller(s, "h", "/q/1", key_a), call_result::unauthenticated);
}

/// Neither answer nor log shows the credential, and the body costs nothing.
Test(central_organisations, a_refused_call_is_answered_at_once)
{
    central_state s;
    (void)reduce(s, operator_changed{{two_queues(), {}}}, {1}, {0});
    caller_call call{{7}, call_kind::submit, "h", "/q/0000000000000001", {}, {3'000}};
    call.key = {"a stranger's"};
    call.is_body_unread = true;
    bool is_answered{false};
    for (const central::effect& each : reduce(s, call, {2}, {0})) {
        if (const auto* const answered = std::get_if<answer_call>(&each)) {
            is_answered = answered->answer.result == call_result::unauthenticated;
        }
        if (const auto* const line = std::get_if<log_event>(&each)) {
            for (const log_field& field : line->fields) {
                cr_assert_eq(field.value.find("stranger"), std::string::npos);
            }
        }
    }
    cr_assert(is_answered);
}

Test(central_organisations, manifest_with_odd_organisations)
{
    std::string keys;
    for (int i{0}; i < 10'000; ++i) {
        keys += (i == 0 ? "\"k" : ",\"k") + std::to_string(i) + '"';
    }
    const auto m = platform::parse_manifest(
        R"j({"version":7,"routes":[{"name":"r","public":true}],"tenants":[)j"
        R"j({"name":"many","api_keys":[)j" +
        keys +
        R"j(],"weight":16,"maximum":{"cpu":5000,"mem_mb":7,"gpu":0}},)j"
        R"j({"name":"second","api_keys":["k5","own"],"weight":0},{"name":"none"}]})j");
    cr_assert(m.ok());
    cr_assert(m->queues[0].is_public);
    cr_assert_eq(m->credentials.size(), 10'001);
    cr_assert_eq(m->credentials.at({"k5"}).value, "many");
    cr_assert_eq(find_organisation(*m, {"many"})->quota, (resources{5'000, 7, 0}));
    cr_assert_eq(find_organisation(*m, {"many"})->weight, 16);
    cr_assert_gt(find_organisation(*m, {"second"})->weight, 0);
    cr_assert_eq(m->faults.size(), 3);
    for (const std::string& fault : m->faults) {
        cr_assert_eq(fault.find("k5"), std::string::npos);
    }
    cr_assert_not(platform::parse_manifest(R"j({"version":7,"routes":[],"tenants":7})j").ok());
    cr_assert_not(platform::parse_manifest(R"j({"version":7,"routes":[]})j")->organisations);
}

/// Rows and calls of a version that knows no organisations are read, and it reads ours.
Test(central_organisations, rows_and_calls_of_earlier_versions)
{
    stored_job row;
    row.spec = central_world::make_job(id_of(1), 1, 1, {10});
    const std::string without = encode_job(row);
    cr_assert(decode_stored_job(without)->owner.name.empty());
    row.owner = {org_a, 3, {1, 2, 3}};
    const std::string with = encode_job(row);
    cr_assert_eq(decode_stored_job(with)->owner, row.owner);
    cr_assert_eq(with.substr(0, without.size()), without);
    for (std::size_t n{0}; n < with.size(); ++n) {
        cr_assert_eq(decode_stored_job(with.substr(0, n)).ok(), n == without.size());
    }
    job_call call;
    call.kind = call_kind::cancel;
    const std::string plain = encode_call(call);
    call.organisation = org_a;
    cr_assert_eq(decode_call(encode_call(call))->organisation, org_a);
    cr_assert_eq(encode_call(call).substr(0, plain.size()), plain);
}

Test(central_organisations, a_job_with_an_unknown_credential_never_runs)
{
    quota_world w{4};
    submit(w, 0, central_world::make_job(id_of(1), 1, 4, {100}), {"none"});
    w.run_for({2'000});
    cr_assert_eq(w.caller(id_of(1)).last_result, call_result::unauthenticated);
    cr_assert_eq(w.starts(), 0);
    expect_no_violation(w);
}

Test(central_organisations, no_more_than_the_quota_runs)
{
    quota_world w{5};
    submit(w, 0, central_world::make_job(id_of(1), 1, 20, {300}));
    submit(w, 1, central_world::make_job(id_of(2), 1, 8, {300}), {"key of b"});
    cr_assert_eq(most_running(w, {4'000}), 5);
    for (const int n : {1, 2}) {
        w.query(0, id_of(static_cast<std::uint64_t>(n)));
    }
    w.run_for({100});
    cr_assert(w.all_done(job_state::completed));
    expect_no_violation(w);
}

Test(central_organisations, a_task_larger_than_the_quota_runs_alone)
{
    quota_world w{1};
    graph_job job = central_world::make_job(id_of(1), 1, 2, {300});
    job.steps[0].task_size = {3 * task_size.milli_cores, 1'000, 0};
    submit(w, 0, job);
    cr_assert_eq(most_running(w, {2'000}), 3);
    w.query(0, id_of(1));
    w.run_for({100});
    cr_assert(w.all_done(job_state::completed));
    expect_no_violation(w);
}

Test(central_organisations, a_gang_counts_as_a_whole)
{
    quota_world w{5};
    submit(w, 0, central_world::make_job(id_of(1), 1, 3, {1'000}));
    w.run_for({200});
    graph_job gang = central_world::make_job(id_of(2), 1, 3, {300});
    gang.steps[0].is_gang = true;
    submit(w, 0, gang);
    cr_assert_eq(most_running(w, {500}), 3);
    w.run_for({2'000});
    w.query(0, id_of(2));
    w.run_for({100});
    cr_assert_eq(w.caller(id_of(2)).shown, job_state::completed);
    expect_no_violation(w);
}

Test(central_organisations, runs_that_are_being_stopped_count)
{
    quota_world w{4};
    submit(w, 0, central_world::make_job(id_of(1), 1, 4, {60'000}));
    w.run_for({300});
    for (std::size_t i{0}; i < w.runners(); ++i) {
        w.runner(i).ignored_stops = 1;
    }
    w.cancel(0, id_of(1));
    submit(w, 0, central_world::make_job(id_of(2), 1, 4, {300}));
    cr_assert_eq(most_running(w, {6'000}), 4);
    w.query(0, id_of(2));
    w.run_for({100});
    cr_assert_eq(w.caller(id_of(2)).shown, job_state::completed);
    expect_no_violation(w);
}

Test(central_organisations, runs_on_a_silent_runner_count_until_their_leases_end)
{
    quota_world w{4};
    submit(w, 0, central_world::make_job(id_of(1), 1, 4, {60'000}));
    w.run_for({300});
    const std::size_t cut = 0;
    w.faults.unreachable_runners.insert(cut);
    const std::size_t before = w.runner(cut).running.size();
    cr_assert_gt(before, 0);
    submit(w, 0, central_world::make_job(id_of(2), 1, 4, {300}));
    cr_assert_eq(most_running(w, {20'000}), 4);
    cr_assert_eq(w.runner(cut).running.size(), 0);
    expect_no_violation(w);
}

/// The successor cannot ask the runner on which the organisation has runs.
Test(central_organisations, a_successor_counts_what_may_run_unreported)
{
    quota_world w{4};
    submit(w, 0, central_world::make_job(id_of(1), 1, 4, {60'000}));
    w.run_for({300});
    const std::size_t old = *w.scheduler();
    w.faults.unreachable_runners.insert(0);
    w.kill(old);
    const std::size_t other = (old + 1) % 3;
    w.run_for({4'000});
    cr_assert(w.scheduler().has_value());
    submit(w, other, central_world::make_job(id_of(2), 1, 4, {300}));
    submit(w, other, central_world::make_job(id_of(3), 1, 4, {300}), {"key of b"});
    cr_assert_eq(most_running(w, {25'000}), 4);
    w.query(other, id_of(3));
    w.run_for({100});
    cr_assert_eq(w.caller(id_of(3)).shown, job_state::completed);
    expect_no_violation(w);
}

/// Owners are known from the store, and so is the quota of one that the manifest lists no more.
Test(central_organisations, owners_survive_the_restart_of_all_vms)
{
    quota_world w{3};
    submit(w, 0, central_world::make_job(id_of(1), 2, 12, {500}));
    w.run_for({300});
    w.change_manifest([](manifest& m) {
        m.organisations->erase(m.organisations->begin());
        m.credentials.erase(key_a);
    });
    for (std::size_t vm{0}; vm < 3; ++vm) {
        w.kill(vm);
        w.restart(vm);
    }
    cr_assert_eq(most_running(w, {30'000}), 3);
    w.query(0, id_of(1));
    w.run_for({100});
    cr_assert_eq(w.caller(id_of(1)).last_result, call_result::unauthenticated);
    cr_assert_eq(w.state_of(*w.scheduler()).scheduler.jobs.at({id_of(1)}).state,
                 job_state::completed);
    expect_no_violation(w);
}

Test(central_organisations, a_lower_quota_stops_nothing_and_starts_nothing)
{
    quota_world w{6};
    submit(w, 0, central_world::make_job(id_of(1), 1, 6, {1'500}));
    w.run_for({300});
    cr_assert_eq(running_tasks_of_a(w), 6);
    w.change_manifest([](manifest& m) { set_organisations(m, {4'000, 0, 0}); });
    submit(w, 0, central_world::make_job(id_of(2), 1, 6, {300}));
    w.run_for({700});
    cr_assert_eq(running_tasks_of_a(w), 6);
    w.run_for({700});
    cr_assert_eq(most_running(w, {4'000}), 2);
    w.query(0, id_of(2));
    w.run_for({100});
    cr_assert(w.all_done(job_state::completed) || w.caller(id_of(2)).shown == job_state::completed);
    expect_no_violation(w);
}

/// Without shares the second organisation's job, which is less urgent, waits until all of the first
/// one's have ended.
Test(central_organisations, excess_waits_for_an_organisation_within_its_share)
{
    quota_world w{0};
    for (std::uint64_t n{1}; n <= 10; ++n) {
        submit(w, 0, central_world::make_job(id_of(n), 1, 20, {500}));
    }
    w.run_for({200});
    cr_assert_eq(running_tasks_of_a(w), 32);
    submit(w, 1, central_world::make_job(id_of(11), 1, 16, {1'000}), {"key of b"});
    w.run_for({700});
    cr_assert_geq(w.running_of({"org-b"}).milli_cores, 16 * task_size.milli_cores);
    // What b does not use is left to a.
    cr_assert_eq(running_tasks_of_a(w), 16);
    w.run_for({1'500});
    cr_assert_eq(running_tasks_of_a(w), 32);
    expect_no_violation(w);
}

/// The more weight, the more of the room, and none that the other has less of than its share.
Test(central_organisations, room_is_shared_by_weight)
{
    quota_world w{0};
    w.change_manifest([](manifest& m) { m.organisations->front().weight = 3; });
    w.run_for({100});
    for (std::uint64_t n{1}; n <= 12; ++n) {
        submit(w, 0, central_world::make_job(id_of(n), 1, 40, {300}));
        submit(w, 1, central_world::make_job(id_of(100 + n), 1, 40, {300}), {"key of b"});
    }
    w.run_for({2'000});
    std::int64_t of_a{0};
    std::int64_t of_both{0};
    for (int i{0}; i < 100; ++i) {
        w.run_for({10});
        of_a += running_tasks_of_a(w);
        of_both += running_tasks_of_a(w) + w.running_of({"org-b"}).milli_cores / 2'000;
    }
    const double share = static_cast<double>(of_a) / static_cast<double>(of_both);
    cr_assert(share > 0.65 && share < 0.85, "%f", share);
    expect_no_violation(w);
}

namespace {

void disturb(central_world& w, std::mt19937_64& random)
{
    const std::size_t runner = random() % w.runners();
    const std::size_t vm = random() % 3;
    switch (random() % 6) {
    case 0:
        w.faults.unreachable_runners.insert(runner);
        break;
    case 1:
        w.faults.unreachable_runners.clear();
        break;
    case 2:
        w.crash_runner(runner);
        break;
    case 3:
        w.is_up(vm) ? w.kill(vm) : w.restart(vm);
        break;
    case 4:
        w.change_manifest([&](manifest& m) {
            const auto tasks = static_cast<std::int64_t>(3 + random() % 6);
            set_organisations(m, {tasks * task_size.milli_cores, 0, 0});
        });
        break;
    default:
        w.faults.late_orders = random() % 2 == 0 ? 0 : 0.05;
        break;
    }
}

void play(std::uint64_t seed)
{
    world_options options;
    options.seed = seed;
    quota_world w{5, options};
    std::mt19937_64 random{seed};
    for (std::uint64_t n{1}; n <= 60; ++n) {
        const bool is_of_a = random() % 3 != 0;
        const std::size_t vm = random() % 3;
        const auto tasks = static_cast<std::uint32_t>(1 + random() % 8);
        graph_job job = central_world::make_job(id_of(n), 1 + random() % 2, tasks,
                                                {static_cast<std::int64_t>(100 + random() % 900)});
        job.steps[0].is_service = random() % 8 == 0;
        // The world takes a step as done once each of its tasks has ended so: not true of gangs.
        job.steps[0].is_gang =
            random() % 8 == 0 && tasks <= 3 && !job.steps[0].is_service && job.steps.size() == 1;
        submit(w, vm, job, is_of_a ? key_a : credential{"key of b"});
        w.run_for({static_cast<std::int64_t>(random() % 800)});
        if (random() % 3 == 0) {
            disturb(w, random);
        }
        if (random() % 3 == 0) {
            w.cancel(random() % 3, id_of(1 + random() % n));
        }
    }
    w.run_for({20'000});
    for (const std::string& violation : w.violations()) {
        cr_log_error("seed %llu: %s", static_cast<unsigned long long>(seed), violation.c_str());
    }
    cr_assert(w.violations().empty());
}

} // namespace

Test(central_organisations, random_histories_keep_quotas)
{
    if (const char* const seed = std::getenv("CUMINMOOR_TEST_SEED")) {
        play(std::strtoull(seed, nullptr, 10));
        return;
    }
    for (std::uint64_t seed{1}; seed <= 60; ++seed) {
        play(seed);
    }
}
