/// \file
/// Configuration: concurrent changes, lost store answers, relay between peers, monotonic versions.
#include <criterion/criterion.h>

#include "cuminmoor/configuration.h"
#include "cuminmoor/inbox.h"
#include "cuminmoor/json_reader.h"
#include "cuminmoor/status.h"
#include "entry_vm_driver.h"

namespace cm = cuminmoor;
using cm::test::entry_vm_driver;
using cm::test::fake_table;

namespace {

std::vector<cm::vm_entry> two_domains()
{
    return {
        {{"a1"}, cm::vm_role::entry, cm::vm_phase::live, {"tema-port"}, "", "", {}},
        {{"b1"}, cm::vm_role::entry, cm::vm_phase::live, {"kumasi-mkt"}, "", "", {}},
    };
}

cm::change_configuration change_to_preset(cm::preset p)
{
    return {cm::use_preset{p}, std::nullopt};
}

} // namespace

Test(configuration, initializes_empty_table_with_version_one)
{
    fake_table table;
    entry_vm_driver a{table, "a1", "tema-port"};
    a.list_vms(two_domains());
    cr_assert_eq(a.s.configuration.current.version.value, 1U);
    cr_assert_neq(a.s.configuration.head_row_version, 0U);
}

Test(configuration, change_propagates_by_polling_alone)
{
    fake_table table;
    entry_vm_driver a{table, "a1", "tema-port"};
    entry_vm_driver b{table, "b1", "kumasi-mkt"};
    a.list_vms(two_domains());
    b.list_vms(two_domains());
    const auto answer = a.run(change_to_preset(cm::preset::peak));
    cr_assert(answer && answer->code == cm::result_code::ok);
    b.run_for(cm::config::configuration_poll + cm::config::tick_period);
    cr_assert(b.s.configuration.current.active_preset == cm::preset::peak);
}

Test(configuration, version_conflict_reports_both_versions)
{
    fake_table table;
    entry_vm_driver a{table, "a1", "tema-port"};
    entry_vm_driver b{table, "b1", "kumasi-mkt"};
    a.list_vms(two_domains());
    b.list_vms(two_domains());
    const cm::change_configuration first{cm::use_preset{cm::preset::peak}, cm::config_version{1}};
    const cm::change_configuration second{cm::use_preset{cm::preset::maintenance},
                                          cm::config_version{1}};
    cr_assert(a.run(first)->code == cm::result_code::ok);
    const auto lost = b.run(second);
    cr_assert(lost && lost->code == cm::result_code::version_conflict);
    cr_assert(lost->message.find("version 1") != std::string::npos);
    cr_assert(lost->message.find("version 2") != std::string::npos);
}

Test(configuration, concurrent_changes_without_expected_version_both_apply)
{
    fake_table table;
    entry_vm_driver a{table, "a1", "tema-port"};
    entry_vm_driver b{table, "b1", "kumasi-mkt"};
    a.list_vms(two_domains());
    b.list_vms(two_domains());
    cr_assert(a.run(change_to_preset(cm::preset::peak))->code == cm::result_code::ok);
    cr_assert(b.run({cm::change_configuration{cm::take_domain_out{{"tema-port"}}, {}}})->code ==
              cm::result_code::ok);
    cr_assert_eq(b.s.configuration.current.version.value, 3U);
    cr_assert(b.s.configuration.current.active_preset == cm::preset::peak);
}

Test(configuration, change_with_lost_answer_is_applied_once)
{
    fake_table table;
    entry_vm_driver a{table, "a1", "tema-port"};
    a.list_vms(two_domains());
    int commits = 0;
    a.commit_hook = [&](const cm::store_commit& request) {
        auto done = cm::test::apply_commit(table, request);
        if (++commits == 1) {
            done.outcome = cm::store_outcome::unknown;
        }
        return done;
    };
    cr_assert(a.run(change_to_preset(cm::preset::peak))->code == cm::result_code::ok);
    a.run_for(cm::config::configuration_poll * 2);
    cr_assert_eq(a.s.configuration.current.version.value, 2U);
    cr_assert_eq(a.s.counters.get("configuration_change_read_back"), 1U);
}

Test(configuration, store_outage_reports_unavailable_or_unknown_outcome)
{
    fake_table table;
    entry_vm_driver a{table, "a1", "tema-port"};
    a.list_vms(two_domains());
    a.commit_hook = [](const cm::store_commit& request) {
        return cm::store_committed{request.token, cm::store_outcome::unavailable, 0};
    };
    cr_assert(a.run(change_to_preset(cm::preset::peak))->code ==
              cm::result_code::store_unavailable);
    a.commit_hook = [](const cm::store_commit& request) {
        return cm::store_committed{request.token, cm::store_outcome::unknown, 0};
    };
    cr_assert(a.run(change_to_preset(cm::preset::peak))->code == cm::result_code::outcome_unknown);
}

Test(configuration, adopts_relayed_change_and_ignores_older_one)
{
    fake_table table;
    entry_vm_driver a{table, "a1", "tema-port"};
    a.list_vms(two_domains());
    const cm::peer_changes next{{"b1"}, {{{2}, cm::use_preset{cm::preset::peak}}}};
    a.deliver(cm::peer_received{next});
    cr_assert_eq(a.s.configuration.current.version.value, 2U);
    const cm::peer_changes old{{"b1"}, {{{2}, cm::use_preset{cm::preset::ordinary}}}};
    a.deliver(cm::peer_received{old});
    cr_assert(a.s.configuration.current.active_preset == cm::preset::peak);
}

Test(configuration, lagging_reader_loads_snapshot)
{
    fake_table table;
    entry_vm_driver a{table, "a1", "tema-port"};
    entry_vm_driver b{table, "b1", "kumasi-mkt"};
    a.list_vms(two_domains());
    b.list_vms(two_domains());
    for (int i = 0; i < 300; ++i) {
        cr_assert(
            a.run(change_to_preset(i % 2 == 0 ? cm::preset::peak : cm::preset::ordinary))->code ==
            cm::result_code::ok);
    }
    b.run_for(cm::config::configuration_poll * 4);
    cr_assert_eq(b.s.configuration.current.version, a.s.configuration.current.version);
    cr_assert_lt(table.rows().size(), 300U);
}

Test(configuration, refuses_unknown_names)
{
    fake_table table;
    entry_vm_driver a{table, "a1", "tema-port"};
    a.list_vms(two_domains());
    cr_assert(a.run(cm::change_configuration{cm::take_domain_out{{"nowhere"}}, {}})->code ==
              cm::result_code::unknown_failure_domain);
    cr_assert(a.run(cm::change_configuration{cm::remove_service{{"none"}}, {}})->code ==
              cm::result_code::unknown_service);
}

Test(configuration, json_round_trip_keeps_every_field)
{
    cm::configuration original;
    original.version = {9};
    original.active_preset = cm::preset::maintenance;
    original.domains_out = {{"tema-port"}};
    original.services[{"quote"}] = {{"quote"}, {"desk"}, 3, {1000, 512, 1}, 40'000};
    original.teams[{"desk"}] = {{"desk"}, 5, {64'000, 1024, 2}};
    const auto text = cm::dump_json(cm::configuration_to_json(original));
    const auto value = cm::parse_json(text, "test");
    const auto decoded = cm::configuration_from_json(*value);
    cr_assert(decoded.ok());
    cr_assert_eq(cm::dump_json(cm::configuration_to_json(*decoded)), text);
}

Test(membership, vm_is_gone_only_after_confirmation_time)
{
    fake_table table;
    entry_vm_driver a{table, "a1", "tema-port"};
    a.list_vms(two_domains());
    a.list_vms({two_domains().front()});
    cr_assert(a.s.membership.vms[{"b1"}].phase == cm::vm_phase::live);
    a.run_for(cm::config::gone_confirmation + cm::config::vm_list_poll);
    cr_assert(a.s.membership.vms[{"b1"}].phase == cm::vm_phase::gone);
}

Test(membership, learns_leaving_vms_from_peer_heartbeat)
{
    fake_table table;
    entry_vm_driver a{table, "a1", "tema-port"};
    auto vms = two_domains();
    vms.push_back({{"w1"}, cm::vm_role::worker, cm::vm_phase::live, {"tema-port"}, "", "", {}});
    a.list_vms(vms);
    cm::peer_heartbeat beat;
    beat.from = {"b1"};
    beat.failure_domain = {"kumasi-mkt"};
    beat.sequence = 1;
    beat.leaving_vms = {{"w1"}, {"unheard-of"}};
    a.deliver(cm::peer_received{beat});
    cr_assert(a.s.membership.leaving.contains({"w1"}));
    cr_assert(!a.s.membership.leaving.contains({"unheard-of"}));
}

Test(configuration, unknown_preset_has_its_own_result_code)
{
    const auto parsed = cm::parse_preset("holiday");
    cr_assert(cm::code_of(parsed.status()) == cm::result_code::unknown_preset);
    cr_assert(parsed.status().message().find("maintenance") != std::string::npos);
}

Test(jobs, job_with_all_tasks_moving_is_running)
{
    fake_table table;
    entry_vm_driver a{table, "a1", "tema-port"};
    a.list_vms(two_domains());
    cm::job_spec spec;
    spec.id = {"renders"};
    spec.team = {"kente"};
    spec.tasks = 4;
    spec.task_size = {1'000, 512, 0};
    cr_assert(a.run(cm::submit_job{spec, {"kumasi-mkt"}, 0})->code == cm::result_code::ok);
    cr_assert(a.run(cm::show_job{{"renders"}})->json.find(R"("phase":"submitted")") !=
              std::string::npos);
    cm::job_summary moved;
    moved.job = {"renders"};
    moved.failure_domain = {"kumasi-mkt"};
    moved.team = {"kente"};
    moved.owner = {"desk"};
    moved.declared_tasks = 4;
    moved.totals.in(cm::task_phase::moved) = 4;
    table.commit(
        {{},
         {{cm::job_summary_key(moved.job, moved.failure_domain), cm::encode_job_summary(moved)}}});
    const auto shown = a.run(cm::show_job{{"renders"}});
    cr_assert(shown->json.find(R"("phase":"running")") != std::string::npos);
}
