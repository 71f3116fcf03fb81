/// \file
/// The built program with a store that reads but does not answer transactions.
#include <csignal>

#include <criterion/criterion.h>

#include "process_harness.h"
#include "raw_http_server.h"

namespace pt = process_test;

namespace {

/// Answers reads as an empty store does, and nothing else.
test::reaction answer_reads(const std::string& head)
{
    const bool is_read = head.find("/-/rows-get") != std::string::npos;
    return is_read ? test::whole(R"({"rows":[],"row_version":7,"has_more":false})")
                   : test::reaction{};
}

} // namespace

/// Guards against a process that aborts when it counts an outcome for which its metrics have no
/// name: of a transaction without an answer, the outcome is unknown.
Test(commit_outcome, a_transaction_without_an_answer_does_not_end_the_process)
{
    const test::raw_http_server store{test::responder{answer_reads}};
    const std::string ip{pt::own_host()};
    const pt::central_addresses at{ip + ":7001", ip + ":7002", ip + ":7003", store.address()};
    pt::child_process vm = pt::start_central_vm("commit_outcome", at);
    cr_expect(pt::wait_until([&] {
        const std::string metrics = pt::body_of(pt::get(at.peers, "/metrics"));
        return metrics.find("cuminmoor_commit_unknown_total 2") != std::string::npos;
    }));
    vm.send_signal(SIGTERM);
    constexpr pt::milliseconds stop_limit{15'000};
    cr_expect_eq(vm.wait_for_exit(stop_limit).value_or(-1), 0);
}
