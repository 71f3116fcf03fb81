/// \file
/// Parsing and formatting of the platform's JSON bodies: the examples of its documentation, and
/// malformed bodies.
#include <criterion/criterion.h>

#include "absl/strings/escaping.h"
#include "cuminmoor/json_reader.h"
#include "wire.h"

using namespace cuminmoor;
using namespace cuminmoor::central;

namespace {

graph_task_id example_task()
{
    return {{"5c0e7a21d94b36f8"}, 0, 1, 17};
}

nlohmann::json parsed(const std::string& text)
{
    return *parse_json(text, "test");
}

} // namespace

Test(platform_wire, job)
{
    const auto job = platform::parse_job(
        R"j({"task_spec":"(text)","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900,)j"
        R"j("data_rack":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,"estimated_ms":7000,)j"
        R"j("after":[0],"checkpointing":true,"fills":true,"image":"a","may_miss":2}]})j");
    cr_assert(job.ok());
    cr_assert_eq(job->payload, "(text)");
    cr_assert_eq(job->steps.size(), 2);
    cr_assert_eq(job->steps[0].tasks, 4);
    cr_assert_eq(job->steps[0].data_rack, "r1-3");
    cr_assert_eq(job->steps[1].task_size.milli_cores, 2'000);
    cr_assert_eq(job->steps[1].run_time.count, 7'000);
    cr_assert_eq(job->steps[1].after[0], 0);
    cr_assert(job->steps[1].saves_checkpoints);
    cr_assert(job->steps[1].uses_leftover);
    cr_assert_eq(job->steps[1].disruption_budget, 2);
    cr_assert_not(job->steps[1].is_service);
}

Test(platform_wire, malformed_jobs_are_rejected)
{
    for (const char* const body :
         {"", "[]", "{}", R"j({"steps":[]})j", R"j({"steps":7})j", R"j({"steps":[{"count":0}]})j",
          R"j({"steps":[{"after":[0]}]})j", R"j({"steps":[{"cpu":"many"}]})j",
          R"j({"steps":[{"count":-1}]})j", "\xff\xfe"}) {
        cr_assert_not(platform::parse_job(body).ok(), "%s", body);
    }
}

Test(platform_wire, job_states_and_pending_counts)
{
    cr_assert_eq(platform::format_state(job_state::completed), R"j({"state":"completed"})j");
    cr_assert_eq(platform::format_pending(12), R"j({"pending":12})j");
}

Test(platform_wire, registry_entry)
{
    const auto entry = platform::parse_registry_entry(
        "i-7f3a91c2",
        R"j({"service":"huvo11a","address":"10.128.0.9:8080","zone":"accra-east","version":"v1",)j"
        R"j("slots":8,"state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,)j"
        R"j("gpu":0},"labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":1700000000001})j");
    cr_assert(entry.ok());
    cr_assert_eq(entry->failure_domain.value, "accra-east");
    cr_assert_eq(entry->capacity.milli_cores, 16'000);
    cr_assert_eq(entry->labels[1], "r1-3");
    cr_assert_eq(entry->started_at_ms, 1'700'000'000'001);
    cr_assert_not(entry->draining);
}

Test(platform_wire, malformed_registry_entries_are_rejected)
{
    for (const char* const body :
         {"", "7", R"j({"service":"s"})j",
          R"j({"service":"s","address":"a:1","zone":"z","state":"asleep","capacity":{}})j",
          R"j({"service":3,"address":"a:1","zone":"z","state":"ready","capacity":{}})j",
          R"j({"service":"s","address":"a:1","zone":"z","state":"ready","capacity":5})j",
          "\x80\x81"}) {
        cr_assert_not(platform::parse_registry_entry("i-1", body).ok(), "%s", body);
    }
}

Test(platform_wire, order_bodies)
{
    runner_order order;
    order.term = {7};
    order.task = example_task();
    order.run = {2};
    order.payload = "(text)";
    order.lease_until = {486'000};
    order.checkpoint = "00000bb87a21d94b";
    const auto start = parsed(platform::format_start(order));
    cr_assert_eq(start, parsed(R"j({"task":"5c0e7a21d94b36f8.0.1.17","run_id":2,)j"
                               R"j("task_spec":"(text)","until_ms":486000,"fencing_token":7,)j"
                               R"j("last_checkpoint":"00000bb87a21d94b"})j"));
    cr_assert_eq(parsed(platform::format_stop(order)),
                 parsed(R"j({"task":"5c0e7a21d94b36f8.0.1.17","run_id":2,"fencing_token":7})j"));
    order.percent = 40;
    cr_assert_eq(parsed(platform::format_pace(order))["percent"], 40);
}

Test(platform_wire, order_responses)
{
    const auto done = platform::parse_order_response(R"j({"clock_ms":482113})j");
    cr_assert(done.ok());
    cr_assert_eq(done->clock->ms, 482'113);
    const auto refused = platform::parse_order_response(R"j({"clock_ms":5,"reason":"fence"})j");
    cr_assert_eq(refused->reason, "fence");
    cr_assert_not(platform::parse_order_response("no").ok());
}

Test(platform_wire, hold_body_and_response)
{
    const runner_hold hold{{"i-1"}, "a:1", {7}, remote_instant{486'000}, 57, {1'000}, {2'000}};
    cr_assert_eq(
        parsed(platform::format_hold(hold)),
        parsed(R"j({"until_ms":486000,"fencing_token":7,"ack_cursor":57,"wait_ms":1000})j"));
    const auto answer = platform::parse_hold_response(
        R"j({"clock_ms":482113,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,18]],)j"
        R"j("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})j");
    cr_assert(answer.ok());
    cr_assert_eq(answer->clock.ms, 482'113);
    cr_assert_eq(answer->started_at_ms, 5);
    cr_assert(answer->running[0].task == example_task());
    cr_assert_eq(answer->running[0].load, 18);
    cr_assert_eq(answer->ended[0].number, 58);
    cr_assert(answer->ended[0].cause == end_cause::done);
}

Test(platform_wire, malformed_hold_responses_are_rejected)
{
    for (const char* const body :
         {"", "{}", R"j({"clock_ms":1,"running":3,"finished":[]})j",
          R"j({"clock_ms":1,"running":[["x",1]],"finished":[]})j",
          R"j({"clock_ms":1,"running":[],"finished":[[1,"a.0.0.0",1,"vanished",""]]})j",
          R"j({"clock_ms":1,"running":[[]],"finished":[]})j"}) {
        cr_assert_not(platform::parse_hold_response(body).ok(), "%s", body);
    }
}

Test(platform_wire, manifest)
{
    const auto m = platform::parse_manifest(
        R"j({"version":7,"routes":[{"name":"r-3hwrr6x","hostname":"nony24.example",)j"
        R"j("path_prefix":"/lohu930/","kind":"non_idempotent","timeout_ms":3000,)j"
        R"j("target_latency_ms":250,"priority":0,"service":"huvo11a","max_attempts":4,)j"
        R"j("stretch":1.5}],"services":[{"name":"spare"},7,{"name":3}],"limits":{}})j");
    cr_assert(m.ok());
    cr_assert_eq(m->version, 7);
    cr_assert_eq(m->queues[0].slack.count, 250);
    cr_assert_eq(m->queues[0].stretch, 1.5);
    cr_assert(names_service(*m, {"huvo11a"}));
    cr_assert(names_service(*m, {"spare"}));
    cr_assert_not(names_service(*m, {"floor-sensors"}));
    cr_assert_not_null(find_queue(*m, "nony24.example", "/lohu930/5c0e7a21d94b36f8"));
    cr_assert_null(find_queue(*m, "nony24.example", "/other/"));
    cr_assert_null(find_queue(*m, "elsewhere.example", "/lohu930/x"));
    cr_assert_not(platform::parse_manifest(R"j({"routes":[]})j").ok());
    cr_assert_not(
        platform::parse_manifest(R"j({"version":1,"routes":[{"max_attempts":0}]})j").ok());
}

Test(platform_wire, commit_body_and_response)
{
    rows_commit commit;
    commit.preconditions.push_back({{table::head, "newest"}, 3});
    commit.changes.push_back({{table::jobs, "a"}, "node-1"});
    commit.changes.push_back({{table::progress, "b"}, std::nullopt});
    const auto body = parsed(platform::format_commit_body(commit, "main"));
    cr_assert_eq(body["expected_rev"][0]["row_version"], 3);
    cr_assert_eq(body["expected_rev"][0]["part"], "main");
    cr_assert_eq(body["writes"][0]["value"], "bm9kZS0x");
    cr_assert_eq(body["remove"][0]["key"], "b");
    const auto version = platform::parse_commit_response(R"j({"row_version":412,"now_ms":51230})j");
    cr_assert_eq(*version, 412);
    cr_assert_not(platform::parse_commit_response("{}").ok());
}

Test(platform_wire, store_pages)
{
    const auto page = platform::parse_store_page(
        R"j({"rows":[{"table":"my","part":"p7","key":"owner","value":"bm9kZS0x",)j"
        R"j("row_version":412},{"table":"my","key":"gone","deleted":true,"row_version":413}],)j"
        R"j("has_more":true,"row_version":530,"now_ms":51230})j");
    cr_assert(page.ok());
    cr_assert_eq(*page->rows[0].value, "node-1");
    cr_assert_not(page->rows[1].value.has_value());
    cr_assert(page->has_more);
    cr_assert_eq(page->store_version, 530);
    // A value that is not base64 is parsed as a row without a value.
    const auto odd = platform::parse_store_page(
        R"j({"rows":[{"table":"t","key":"k","value":"!!","row_version":1}],"row_version":1})j");
    cr_assert(odd.ok());
    cr_assert_not(odd->rows[0].value.has_value());
    cr_assert_not(platform::parse_store_page(R"j({"row_version":1})j").ok());
}

Test(platform_wire, read_target_carries_start_key_and_limit)
{
    cr_assert_eq(platform::format_read_target({table::head, ""}, "main"),
                 "/-/rows-get?table=cuminmoor-head&part=main");
    cr_assert_eq(platform::format_read_target({table::jobs, "00c0ffee0", 12}, "main"),
                 "/-/rows-get?table=cuminmoor-jobs&part=main&from=00c0ffee0&limit=12");
    cr_assert_eq(platform::format_read_target({table::runners, "", 40}, ""),
                 "/-/rows-get?table=servers&part=&limit=40");
}

// ---- Responses to holds, parsed by a SAX handler

namespace {

/// \return the error of parsing a response to a hold, or "ok".
std::string hold_error(const std::string& body)
{
    const auto answer = platform::parse_hold_response(body);
    return answer.ok() ? "ok" : std::string{answer.status().message()};
}

} // namespace

Test(platform_wire_hold_responses, short_and_long_rows_are_accepted)
{
    const auto answer = platform::parse_hold_response(
        R"j({"running":[["a.0.0.0",2],["b.1.2.3",1.9,"c\"\u00e4",-7,1e3,"more",[[]]],)j"
        R"j(["c.0.0.0","x",null,true,{"k":[1]}]],"finished":[[7,"d.0.0.1",3,"lapsed"],)j"
        R"j(["x","e.0.0.2",[4],"failed","saved",{}]],"clock_ms":9})j");
    cr_assert(answer.ok());
    cr_assert_eq(answer->started_at_ms, 0);
    cr_assert_eq(answer->running.size(), 3);
    cr_assert_eq(answer->running[0].run.value, 2);
    cr_assert_eq(answer->running[0].checkpoint, "");
    cr_assert_eq(answer->running[0].percent, 0);
    cr_assert((answer->running[1].task == graph_task_id{{"b"}, 1, 2, 3}));
    cr_assert_eq(answer->running[1].run.value, 1);
    cr_assert_eq(answer->running[1].checkpoint, "c\"\u00e4");
    cr_assert_eq(answer->running[1].percent, 0);
    cr_assert_eq(answer->running[1].load, 1'000);
    // Values that are not numbers count as 0 and values that are not text as empty, also when the
    // previous row had values at these positions.
    cr_assert_eq(answer->running[2].run.value, 0);
    cr_assert_eq(answer->running[2].checkpoint, "");
    cr_assert_eq(answer->running[2].load, 0);
    cr_assert_eq(answer->ended.size(), 2);
    cr_assert_eq(answer->ended[0].number, 7);
    cr_assert(answer->ended[0].cause == end_cause::lease_expired);
    cr_assert_eq(answer->ended[1].number, 0);
    cr_assert_eq(answer->ended[1].run.value, 0);
    cr_assert_eq(answer->ended[1].checkpoint, "saved");
}

/// Guards against taking the first 500 ends for all of them (review/2).
Test(platform_wire_hold_responses, a_full_list_of_ends_may_go_on)
{
    const auto has_more_ends = [](std::size_t ends) {
        std::string list;
        for (std::size_t n{1}; n <= ends; ++n) {
            list += (n == 1 ? "[" : ",[") + std::to_string(n) + R"j(,"a.0.0.0",1,"done",""])j";
        }
        const auto answer = platform::parse_hold_response(
            R"j({"clock_ms":1,"running":[],"finished":[)j" + list + "]}");
        return answer.ok() && answer->ended.size() == ends && answer->has_more_ends;
    };
    cr_assert_not(has_more_ends(499));
    cr_assert(has_more_ends(500));
}

Test(platform_wire_hold_responses, unknown_fields_are_ignored)
{
    const auto answer = platform::parse_hold_response(
        R"j({"x":{"clock_ms":1,"running":[["a.0.0.0",1]],"finished":7},"y":[["a.0.0.0",1]],)j"
        R"j("clock_ms":9,"running":[],"z":[[[["clock_ms"]]]],"finished":[],"":null})j");
    cr_assert(answer.ok());
    cr_assert_eq(answer->clock.ms, 9);
    cr_assert(answer->running.empty());
    cr_assert(answer->ended.empty());
}

Test(platform_wire_hold_responses, last_value_of_a_duplicate_field_wins)
{
    const auto answer = platform::parse_hold_response(
        R"j({"clock_ms":"x","clock_ms":2,"running":[["a.0.0.0",1],7],"finished":3,)j"
        R"j("running":[["b.0.0.0",1]],"finished":[]})j");
    cr_assert(answer.ok());
    cr_assert_eq(answer->clock.ms, 2);
    cr_assert_eq(answer->running.size(), 1);
    cr_assert_eq(answer->running[0].task.job.value, "b");
    cr_assert_eq(hold_error(R"j({"clock_ms":2,"running":[],"running":7,"finished":[]})j"),
                 "runner's answer has no list of runs");
}

Test(platform_wire_hold_responses, error_messages_name_the_fault)
{
    struct malformed_body {
        const char* body;
        const char* fault;
    };
    const std::string runs_error{"runner's answer has an unreadable row in the list of runs"};
    const std::string ends_error{"runner's answer has an unreadable row in the list of ends"};
    for (const malformed_body& each : {
             malformed_body{"", "runner's answer: not valid JSON"},
             {R"j({"clock_ms":1,"running":[],"finished":[]}})j", "runner's answer: not valid JSON"},
             {R"j({"clock_ms":1e999,"running":[],"finished":[]})j",
              "runner's answer: not valid JSON"},
             {R"j({"clock_ms":1,"running":[],"finished":["ÿ"]})j",
              "runner's answer: not valid JSON"},
             {"[]", "runner's answer: not a JSON object"},
             {"7", "runner's answer: not a JSON object"},
             {R"j([{"clock_ms":1,"running":[],"finished":[]}])j",
              "runner's answer: not a JSON object"},
             {R"j({"running":[],"finished":[]})j", "runner's answer: field 'clock_ms' is missing"},
             {R"j({"clock_ms":[1],"running":[],"finished":[]})j",
              "runner's answer: field 'clock_ms' must be a whole number"},
             {R"j({"clock_ms":1.5,"running":7})j",
              "runner's answer: field 'clock_ms' must be a whole number"},
             {R"j({"clock_ms":-3,"running":[],"finished":[]})j",
              "runner's answer: field 'clock_ms' is -3, allowed are 0 to 9223372036854775807"},
             {R"j({"clock_ms":1,"born":{},"running":[],"finished":[]})j",
              "runner's answer: field 'born' must be a whole number"},
             {R"j({"clock_ms":1,"finished":[]})j", "runner's answer has no list of runs"},
             {R"j({"clock_ms":1,"running":{"a":[["a.0.0.0",1]]},"finished":[]})j",
              "runner's answer has no list of runs"},
             {R"j({"clock_ms":1,"running":[]})j", "runner's answer has no list of ends"},
             {R"j({"clock_ms":1,"running":[7],"finished":7})j", runs_error.c_str()},
             {R"j({"clock_ms":1,"running":[{"k":["a.0.0.0",1]}],"finished":[]})j",
              runs_error.c_str()},
             {R"j({"clock_ms":1,"running":[["a.0.0.0"]],"finished":[]})j", runs_error.c_str()},
             {R"j({"clock_ms":1,"running":[["a.0.0",1]],"finished":[]})j", runs_error.c_str()},
             {R"j({"clock_ms":1,"running":[["a.0.0.0.0",1]],"finished":[]})j", runs_error.c_str()},
             {R"j({"clock_ms":1,"running":[["a.0.0.x",1]],"finished":[]})j", runs_error.c_str()},
             {R"j({"clock_ms":1,"running":[[["a.0.0.0"],1]],"finished":[]})j", runs_error.c_str()},
             {R"j({"clock_ms":1,"running":[],"finished":[[1,"a.0.0.0",1]]})j", ends_error.c_str()},
             {R"j({"clock_ms":1,"running":[],"finished":[[1,"a.0.0.0",1,7,""]]})j",
              ends_error.c_str()},
             {R"j({"clock_ms":1,"running":[],"finished":[[1,"a.0.0.0",1,"done",""],null]})j",
              ends_error.c_str()},
         }) {
        cr_expect_eq(hold_error(each.body), std::string{each.fault}, "%s", each.body);
    }
}
