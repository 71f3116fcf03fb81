/// \file
/// Claims of non-idempotent requests on one entry VM, and the encoding of claim rows.
#include <criterion/criterion.h>

#include "cuminmoor/reducer.h"

namespace cm = cuminmoor;

namespace {

struct entry_vm {
    cm::policy_set policies{cm::make_first_fit_policies()};
    cm::reducer r{policies};
    cm::state s;
    std::vector<cm::store_commit> commits;
    std::vector<cm::store_read> reads;
    std::vector<cm::request_dispatch> dispatches;
    std::vector<cm::request_answer> answers;

    entry_vm()
    {
        s.self = {{"e1"}, {"tema-port"}, 1};
        s.membership.vms[{"n1"}] = {.id = {"n1"},
                                    .role = cm::vm_role::runner,
                                    .phase = cm::vm_phase::live,
                                    .failure_domain = s.self.failure_domain,
                                    .http_address = "",
                                    .peer_address = "",
                                    .service = {"drape-desk"}};
    }

    void step(const cm::event& e, std::int64_t now_ms)
    {
        for (const auto& f : r.step(s, e, {now_ms})) {
            if (const auto* commit = std::get_if<cm::store_commit>(&f.body)) {
                if (commit->token.user == cm::store_user::requests) {
                    commits.push_back(*commit);
                }
            }
            else if (const auto* read = std::get_if<cm::store_read>(&f.body)) {
                if (read->token.user == cm::store_user::requests) {
                    reads.push_back(*read);
                }
            }
            else if (const auto* d = std::get_if<cm::request_dispatch>(&f.body)) {
                dispatches.push_back(*d);
            }
            else if (const auto* a = std::get_if<cm::request_answer>(&f.body)) {
                answers.push_back(*a);
            }
        }
    }

    void send_request(std::uint64_t handle, const char* body = "12 screens")
    {
        step(cm::request_arrived{.handle = {handle},
                                 .caller = {"hotel"},
                                 .service = {"drape-desk"},
                                 .id = {"order-1"},
                                 .idempotent = false,
                                 .deadline = {5'000},
                                 .hops = 0,
                                 .body = std::make_shared<const std::string>(body)},
             10);
    }
    void complete_commit(cm::store_outcome outcome, cm::row_version revision = 0)
    {
        step(cm::store_committed{commits.back().token, outcome, revision}, 20);
    }
    void end_dispatch(cm::dispatch_outcome outcome)
    {
        const auto d = dispatches.back();
        step(cm::dispatch_ended{d.handle, d.dispatch, outcome, 200,
                                std::make_shared<const std::string>("accepted")},
             30);
    }
    void complete_read(const cm::claim_record& record)
    {
        step(cm::store_read_done{reads.back().token,
                                 true,
                                 {20},
                                 {{reads.back().keys.front(), cm::encode_claim(record), 7}}},
             25);
    }
    cm::claim_record last_written_claim() const
    {
        return *cm::decode_claim(*commits.back().body.writes.front().value);
    }
};

} // namespace

Test(claims, dispatches_only_after_claim_commit)
{
    entry_vm vm;
    vm.send_request(1);
    cr_assert(vm.dispatches.empty());
    cr_assert_eq(vm.commits.front().body.preconditions.front().version, 0U);
    vm.complete_commit(cm::store_outcome::ok, 3);
    cr_assert_eq(vm.dispatches.size(), 1U);
    vm.end_dispatch(cm::dispatch_outcome::answered);
    cr_assert(vm.answers.back().code == cm::result_code::ok);
    cr_assert(vm.last_written_claim().status == cm::claim_status::done);
    cr_assert_eq(vm.last_written_claim().body, "accepted");
    cr_assert_eq(vm.commits.back().body.preconditions.front().version, 3U);
}

Test(claims, refuses_request_when_store_is_unavailable)
{
    entry_vm vm;
    vm.send_request(1);
    vm.complete_commit(cm::store_outcome::unavailable);
    cr_assert(vm.answers.back().code == cm::result_code::store_unavailable);
    cr_assert(vm.dispatches.empty());
    cr_assert(vm.s.requests.open.empty());
}

Test(claims, reads_back_claim_after_unknown_commit_outcome)
{
    entry_vm vm;
    vm.send_request(1);
    const auto mine = vm.last_written_claim();
    vm.complete_commit(cm::store_outcome::unknown);
    vm.step(cm::tick{}, 500);
    cr_assert_eq(vm.commits.size(), 2U);
    vm.complete_commit(cm::store_outcome::conflict);
    vm.complete_read(mine);
    cr_assert_eq(vm.dispatches.size(), 1U);
}

Test(claims, repeat_returns_stored_answer)
{
    entry_vm vm;
    vm.send_request(1);
    auto other = vm.last_written_claim();
    other.written_by = {"e2/1/1"};
    other.status = cm::claim_status::done;
    other.http_status = 201;
    other.body = "accepted";
    vm.complete_commit(cm::store_outcome::conflict);
    vm.complete_read(other);
    cr_assert(vm.dispatches.empty());
    cr_assert(vm.answers.back().code == cm::result_code::ok);
    cr_assert_eq(vm.answers.back().status, 201);
    cr_assert_eq(*vm.answers.back().body, "accepted");
}

Test(claims, repeat_waits_for_same_request_in_flight)
{
    entry_vm vm;
    vm.send_request(1);
    vm.send_request(2);
    vm.complete_commit(cm::store_outcome::ok, 3);
    cr_assert_eq(vm.dispatches.size(), 1U);
    vm.end_dispatch(cm::dispatch_outcome::answered);
    cr_assert_eq(vm.answers.size(), 2U);
    cr_assert(vm.answers.back().code == cm::result_code::ok);
    cr_assert_eq(vm.answers.back().handle.value, 2U);
}

Test(claims, refuses_reused_id_with_different_body)
{
    entry_vm vm;
    vm.send_request(1);
    vm.send_request(2, "99 screens");
    cr_assert(vm.answers.back().code == cm::result_code::duplicate_id);
}

Test(claims, lost_dispatch_is_marked_unknown_and_not_retried)
{
    entry_vm vm;
    vm.send_request(1);
    vm.complete_commit(cm::store_outcome::ok, 3);
    vm.end_dispatch(cm::dispatch_outcome::lost);
    cr_assert(vm.answers.back().code == cm::result_code::outcome_unknown);
    cr_assert(vm.last_written_claim().status == cm::claim_status::unknown);
    vm.send_request(2);
    cr_assert(vm.answers.back().code == cm::result_code::claimed_outcome_unknown);
    cr_assert_eq(vm.dispatches.size(), 1U);
}

Test(claims, releases_claim_before_reporting_not_run)
{
    entry_vm vm;
    vm.send_request(1);
    vm.complete_commit(cm::store_outcome::ok, 3);
    vm.end_dispatch(cm::dispatch_outcome::refused);
    vm.step(cm::tick{}, 5'100);
    cr_assert(!vm.commits.back().body.writes.front().value);
    cr_assert_eq(vm.commits.back().body.preconditions.front().version, 3U);
    cr_assert(cm::is_certainly_not_run(vm.answers.back().code));
    vm.complete_commit(cm::store_outcome::ok, 4);
    cr_assert(vm.s.requests.open.empty());
}

Test(claims, claim_keys_do_not_collide)
{
    cr_assert_neq(cm::claim_key({"a/b"}, {"c"}), cm::claim_key({"a"}, {"b/c"}));
    cr_assert_neq(cm::claim_key({"a%2Fb"}, {"c"}), cm::claim_key({"a/b"}, {"c"}));
}

Test(claims, claim_row_round_trips_binary_body)
{
    cm::claim_record record{.written_by = {"e1/1/1"},
                            .service = {"drape-desk"},
                            .body_hash = UINT64_MAX,
                            .status = cm::claim_status::done,
                            .http_status = 200,
                            .body = std::string{"\0\xff\"\n", 4}};
    const auto read = cm::decode_claim(cm::encode_claim(record));
    cr_assert(read.ok());
    cr_assert_eq(read->body, record.body);
    cr_assert_eq(read->body_hash, record.body_hash);
}

Test(claims, rejects_malformed_rows)
{
    for (const char* text : {"", "[]", "{}", R"({"nonce":1})",
                             R"({"nonce":"n","service":"s","status":"odd","body":"","body_hash":1,
                                 "http_status":200})"}) {
        cr_assert(!cm::decode_claim(text).ok(), "%s", text);
    }
}
