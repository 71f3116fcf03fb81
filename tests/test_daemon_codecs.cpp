/// \file
/// Mappings between the core's types and the wires.
#include <criterion/criterion.h>

#include "caller_request.h"
#include "command_request.h"
#include "cuminmoor/json_reader.h"
#include "cuminmoor/status.h"
#include "io_limits.h"
#include "peer_codec.h"
#include "platform_json.h"
#include "url.h"
#include "worker_json.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;

namespace {

io::http_request make_request(const std::string& method, const std::string& path,
                              const std::string& body = "")
{
    io::http_request r;
    r.method = method;
    r.path = path;
    r.headers = {{"X-Caller", "kente"}, {"x-request-id", "q1"}};
    r.body = std::make_shared<const std::string>(body);
    return r;
}

cm::result_code code_of_command(const std::string& path, const std::string& body)
{
    const auto parsed = io::parse_command(make_request("POST", path, body), 7);
    cr_assert(parsed.has_value());
    return cm::code_of(parsed->status());
}

cm::result_code code_of_header(const std::string& name, const std::string& value)
{
    auto r = make_request("POST", "/v1/services/s/requests");
    r.headers.insert(r.headers.begin(), {name, value});
    return cm::code_of(io::parse_caller_request(r, "s", cm::instant{0}).status());
}

const std::string job_text = R"({"id":"j1","team":"t1","tasks":4,"task_size":{"milli_cores":1}})";

} // namespace

Test(peer_codec, heartbeat_comes_back_whole)
{
    cm::peer_heartbeat sent;
    sent.from = {"e1"};
    sent.failure_domain = {"ulsan-b"};
    sent.incarnation = 7;
    sent.sequence = 8;
    sent.leaving = true;
    sent.version = {9};
    sent.confirmed_age = cm::millis{-3};
    sent.leaving_vms = {{"r1"}, {"r2"}};
    sent.waiting_requests = 10;
    sent.lease_holder = {"e2"};
    sent.epoch = {11};
    sent.is_holder = true;
    sent.assigned_tasks = 12;
    sent.waiting_tasks = 13;
    const auto bytes = io::encode_datagram(sent);
    cr_assert(bytes.ok());
    const auto got = io::decode_datagram(*bytes);
    cr_assert(got.ok());
    const auto& beat = std::get<cm::peer_heartbeat>(*got);
    cr_assert(beat.from == sent.from && beat.failure_domain == sent.failure_domain);
    cr_assert(beat.incarnation == 7 && beat.sequence == 8 && beat.leaving);
    cr_assert(beat.version == sent.version && beat.confirmed_age == sent.confirmed_age);
    cr_assert(beat.leaving_vms == sent.leaving_vms && beat.waiting_requests == 10);
    cr_assert(beat.lease_holder == sent.lease_holder && beat.epoch == sent.epoch);
    cr_assert(beat.is_holder && beat.assigned_tasks == 12 && beat.waiting_tasks == 13);
}

Test(peer_codec, changes_come_back_whole)
{
    const cm::peer_changes sent{{"e1"}, {{{3}, cm::use_preset{cm::preset::peak}}}};
    const auto got = io::decode_datagram(*io::encode_datagram(sent));
    cr_assert(got.ok());
    const auto& changes = std::get<cm::peer_changes>(*got).changes;
    cr_assert_eq(changes.size(), 1);
    cr_assert(changes.front().version.value == 3);
    cr_assert(std::get<cm::use_preset>(changes.front().change).name == cm::preset::peak);
}

Test(peer_codec, every_truncation_and_every_surplus_is_refused)
{
    const std::string bytes = *io::encode_datagram(cm::peer_inbox_hint{{"e1"}, {"pohang-c"}});
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        cr_assert(!io::decode_datagram(bytes.substr(0, size)).ok());
    }
    cr_assert(!io::decode_datagram(bytes + "x").ok());
    for (int i = 1; i < 256; ++i) {
        std::string other_version = bytes;
        other_version[3] = static_cast<char>(other_version[3] + i);
        cr_assert(!io::decode_datagram(other_version).ok());
    }
}

Test(peer_codec, what_is_not_a_name_is_refused)
{
    cr_assert(!io::decode_datagram(*io::encode_datagram(cm::peer_inbox_hint{{"e 1"}, {"f"}})).ok());
    cr_assert(!io::decode_datagram(*io::encode_datagram(cm::peer_inbox_hint{{"e1"}, {"f/"}})).ok());
}

Test(peer_codec, message_larger_than_a_datagram_is_refused)
{
    cm::peer_heartbeat beat;
    beat.leaving_vms.assign(io::max_datagram_bytes / 8, {"0123456789"});
    cr_assert(!io::encode_datagram(beat).ok());
}

Test(caller_request, headers_become_fields)
{
    auto r = make_request("POST", "/v1/services/drape-desk/requests", "body");
    r.headers.push_back({"X-Deadline-Ms", "250"});
    r.headers.push_back({"X-Idempotent", "1"});
    const auto service = io::match_request_path(r.path);
    cr_assert(service == "drape-desk");
    const auto parsed = io::parse_caller_request(r, *service, cm::instant{1'000});
    cr_assert(parsed.ok());
    cr_assert(parsed->caller.value == "kente" && parsed->id.value == "q1");
    cr_assert(parsed->idempotent && parsed->deadline == cm::instant{1'250});
    cr_assert_eq(*parsed->body, "body");
}

Test(caller_request, faults_have_their_codes)
{
    cr_assert(code_of_header("X-Caller", "a/b") == cm::result_code::out_of_range);
    cr_assert(code_of_header("X-Caller", "") == cm::result_code::missing_field);
    cr_assert(code_of_header("X-Deadline-Ms", "soon") == cm::result_code::malformed);
    cr_assert(code_of_header("X-Deadline-Ms", "0") == cm::result_code::out_of_range);
    cr_assert(code_of_header("X-Deadline-Ms", "99999999999999999999") ==
              cm::result_code::out_of_range);
    cr_assert(code_of_header("X-Idempotent", "2") == cm::result_code::out_of_range);
    cr_assert(code_of_header("X-Idempotent", "1") == cm::result_code::ok);
    cr_assert(!io::match_request_path("/v1/services//requests"));
    cr_assert(!io::match_request_path("/v1/services/a/b/requests"));
}

Test(command_request, submission_becomes_a_job_of_its_caller)
{
    const auto parsed =
        io::parse_command(make_request("POST", "/v1/jobs", R"({"job":)" + job_text + "}"), 7);
    cr_assert(parsed.has_value() && parsed->ok());
    const auto& job = std::get<cm::submit_job>(**parsed);
    cr_assert(job.spec.owner.value == "kente" && job.spec.tasks == 4);
    cr_assert_eq(job.submitted_at_s, 7);
}

Test(command_request, faults_have_their_codes)
{
    const std::string jobs = "/v1/jobs";
    const std::string changes = "/v1/configuration/changes";
    cr_assert(code_of_command(jobs, "[") == cm::result_code::malformed);
    cr_assert(code_of_command(jobs, "{}") == cm::result_code::missing_field);
    cr_assert(code_of_command(jobs, R"({"job":)" + job_text + R"(,"hurry":1})") ==
              cm::result_code::unknown_field);
    cr_assert(code_of_command(jobs, R"({"job":{"id":"j","team":"t","tasks":-1}})") ==
              cm::result_code::out_of_range);
    cr_assert(code_of_command(jobs, R"({"job":{"id":"j","team":"t","task_size":{},)"
                                    R"("run_time_ms":9223372036854775807}})") ==
              cm::result_code::out_of_range);
    cr_assert(code_of_command(changes, R"({"change":{"kind":"dance"}})") ==
              cm::result_code::out_of_range);
    cr_assert(code_of_command(changes, R"({"change":{"kind":"use_preset","preset":"peak"},)"
                                       R"("expected":-1})") == cm::result_code::out_of_range);
    cr_assert(code_of_command("/v1/jobs/cancel", R"({"jobs":[]})") ==
              cm::result_code::out_of_range);
    cr_assert(!io::parse_command(make_request("PUT", jobs), 7));
}

Test(command_request, query_is_checked)
{
    auto r = make_request("GET", "/v1/jobs");
    r.query = {{"limit", "20"}, {"prefix", "j"}};
    const auto parsed = io::parse_command(r, 7);
    cr_assert(parsed && parsed->ok());
    cr_assert_eq(std::get<cm::list_jobs>(**parsed).limit, 20);
    r.query = {{"limit", "100000"}};
    cr_assert(cm::code_of(io::parse_command(r, 7)->status()) == cm::result_code::out_of_range);
    cr_assert(cm::code_of(io::parse_command(make_request("GET", "/v1/audit"), 7)->status()) ==
              cm::result_code::missing_field);
}

Test(platform_json, answers_are_decoded_or_refused)
{
    const auto vms = io::decode_vm_list(
        R"({"vms":[{"id":"r1","role":"runner","phase":"leaving","failure_domain":"f",)"
        R"("http":"127.0.0.1:1","peer":"","service":"s"}]})");
    cr_assert(vms.ok() && vms->front().phase == cm::vm_phase::leaving);
    cr_assert(!io::decode_vm_list(R"({"vms":[{"id":"r1","role":"cook"}]})").ok());
    const auto rows = io::decode_rows(R"({"rows":[{"key":"a","value":"v","version":12}]})");
    cr_assert(rows.ok() && rows->front().version == 12);
    cr_assert(!io::decode_rows(R"({"rows":[{"key":"a","value":"v","version":0}]})").ok());
    cr_assert(!io::decode_commit_answer(R"({"revision":"12"})").ok());
}

Test(platform_json, deletion_is_written_as_null)
{
    const auto text = io::encode_commit({{{"k", 7}}, {{"gone", std::nullopt}, {"k", "v"}}});
    cr_assert_eq(text, R"({"preconditions":[{"key":"k","version":7}],)"
                       R"("writes":[{"key":"gone","value":null},{"key":"k","value":"v"}]})");
}

Test(worker_json, orders_and_reports)
{
    cm::worker_sync sync;
    sync.worker = {"w1"};
    sync.incarnation = "x";
    sync.renew_for = cm::millis{5};
    sync.orders = {cm::stop_order{{{"j"}, 2}, 3, true}};
    cr_assert_eq(io::encode_sync(sync),
                 R"({"incarnation":"x","orders":[{"attempt":3,"checkpoint":true,"kind":"stop",)"
                 R"("task":"j/2"}],)"
                 R"("renew_for_ms":5})");
    const auto report = io::decode_report(
        R"({"incarnation":"x","clock_ms":9,"capacity":{"milli_cores":1},"rack":"r1",)"
        R"("tasks":[{"task":"j/2","attempt":3,"status":"lapsed"}]})");
    cr_assert(report.ok() && report->tasks.front().status == cm::task_status::lapsed);
    cr_assert(!io::decode_report(R"({"incarnation":"x","clock_ms":9,"capacity":{},"tasks":)"
                                 R"([{"task":"j/2","attempt":0,"status":"lapsed"}]})")
                   .ok());
}

Test(url, escaping_is_undone)
{
    const std::string text = "a/b c%\xff";
    cr_assert_eq(io::escape_path(text), "a/b%20c%25%FF");
    cr_assert(io::unescape_path(io::escape_path(text)) == text);
    cr_assert(!io::unescape_path("%4"));
    cr_assert(!io::unescape_path("%zz"));
}
