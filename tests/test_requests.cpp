/// \file
/// Request path of one entry VM: dispatch, answer and refusal.
#include <criterion/criterion.h>

#include "cuminmoor/reducer.h"

namespace cm = cuminmoor;

namespace {

struct entry_vm {
    cm::policy_set policies{cm::make_first_fit_policies()};
    cm::reducer r{policies};
    cm::state s;

    entry_vm() { s.self = {cm::vm_id{"e1"}, cm::failure_domain_id{"tema-port"}, 1}; }

    void add_runner(const char* id)
    {
        s.membership.vms[cm::vm_id{id}] = {.id = {id},
                                           .role = cm::vm_role::runner,
                                           .phase = cm::vm_phase::live,
                                           .failure_domain = s.self.failure_domain,
                                           .http_address = "",
                                           .peer_address = "",
                                           .service = {"drape-desk"}};
    }

    template <typename Effect>
    std::vector<Effect> step(const cm::event& e, cm::instant now)
    {
        std::vector<Effect> found;
        for (const auto& f : r.step(s, e, now)) {
            if (const auto* body = std::get_if<Effect>(&f.body)) {
                found.push_back(*body);
            }
        }
        return found;
    }
};

cm::request_arrived request(std::uint64_t handle, cm::instant deadline)
{
    return {.handle = {handle},
            .caller = {"boutique"},
            .service = {"drape-desk"},
            .id = {"r" + std::to_string(handle)},
            .idempotent = true,
            .deadline = deadline,
            .hops = 0,
            .body = nullptr};
}

} // namespace

Test(requests, forwards_request_to_runner_and_returns_its_answer)
{
    entry_vm vm;
    vm.add_runner("n1");
    const auto sent = vm.step<cm::request_dispatch>(request(1, {1'000}), {10});
    cr_assert_eq(sent.size(), 1U);
    cr_assert(sent[0].to == cm::vm_id{"n1"});
    const auto body = std::make_shared<const std::string>("quote");
    const auto answers = vm.step<cm::request_answer>(
        cm::dispatch_ended{{1}, sent[0].dispatch, cm::dispatch_outcome::answered, 200, body}, {20});
    cr_assert_eq(answers.size(), 1U);
    cr_assert(answers[0].code == cm::result_code::ok);
    cr_assert(answers[0].body == body);
}

Test(requests, refuses_request_without_runner)
{
    entry_vm vm;
    const auto answers = vm.step<cm::request_answer>(request(1, {1'000}), {10});
    cr_assert_eq(answers.size(), 1U);
    cr_assert(answers[0].code == cm::result_code::no_backend_server);
}
