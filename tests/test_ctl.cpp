/// \file
/// cuminmoorctl: faults of the command line, fail-over between entry VMs, exit codes.
#include <criterion/criterion.h>

#include <sstream>
#include <vector>

#include "../ctl/command_line.h"
#include "../ctl/table.h"

namespace ctl = cuminmoor::ctl;

namespace {

/// What each call gets, in order, and what was asked.
struct scripted_entries {
    std::vector<ctl::http_result> answers;
    std::vector<ctl::http_request> asked;

    ctl::exchange_function exchange()
    {
        return [this](const ctl::http_request& request) -> ctl::http_result {
            asked.push_back(request);
            return asked.size() <= answers.size() ? answers[asked.size() - 1]
                                                  : ctl::http_failure{false, "not scripted"};
        };
    }
};

struct run_outcome {
    ctl::exit_code code{ctl::exit_code::internal};
    std::string out;
    std::string err;
};

run_outcome run(const std::vector<std::string>& words, scripted_entries& entries)
{
    std::ostringstream out;
    std::ostringstream err;
    const ctl::invocation started{words, "127.0.0.1:1,127.0.0.1:2"};
    const auto code = ctl::run_command_line(started, out, err, entries.exchange());
    return {code, out.str(), err.str()};
}

ctl::http_answer answer(int status, int code, const std::string& body)
{
    return {status, {{"x-result-code", std::to_string(code)}}, body};
}

const ctl::http_failure not_sent{false, "connection refused"};
const ctl::http_failure maybe_sent{true, "timeout"};

} // namespace

Test(ctl, all_faults_are_listed_and_nothing_is_sent)
{
    scripted_entries entries;
    const auto got = run({"job", "submit", "--tasks", "many", "--colour=red"}, entries);
    cr_assert_eq(got.code, ctl::exit_code::usage);
    for (const char* named : {"JOB", "--tasks", "--colour", "--team", "--caller", "--command"}) {
        cr_assert(got.err.find(named) != std::string::npos, "%s not in: %s", named,
                  got.err.c_str());
    }
    cr_assert(entries.asked.empty());
}

Test(ctl, change_goes_to_another_entry_vm_when_nothing_was_sent)
{
    scripted_entries entries{{not_sent, answer(200, 0, R"({"version":7})")}, {}};
    const auto got = run({"preset", "use", "peak"}, entries);
    cr_assert_eq(got.code, ctl::exit_code::ok, "%s", got.err.c_str());
    cr_assert_eq(entries.asked.size(), 2U);
    cr_assert(got.out.find("version 7") != std::string::npos);
}

Test(ctl, change_that_may_have_been_sent_is_not_repeated)
{
    scripted_entries entries{{maybe_sent, answer(200, 0, R"({"version":7})")}, {}};
    const auto got = run({"preset", "use", "peak"}, entries);
    cr_assert_eq(got.code, ctl::exit_code::outcome_unknown);
    cr_assert_eq(entries.asked.size(), 1U);
}

Test(ctl, non_idempotent_request_that_may_have_been_sent_is_not_repeated)
{
    scripted_entries entries{{maybe_sent, answer(200, 0, "twice")}, {}};
    const auto got =
        run({"service", "request", "drape-desk", "--caller=c", "--request-id=1"}, entries);
    cr_assert_eq(got.code, ctl::exit_code::outcome_unknown);
    cr_assert_eq(entries.asked.size(), 1U);
}

Test(ctl, reading_is_repeated_at_another_entry_vm)
{
    scripted_entries entries{{maybe_sent, answer(200, 0, R"({"vms":[]})")}, {}};
    const auto got = run({"vm", "list"}, entries);
    cr_assert_eq(got.code, ctl::exit_code::ok);
    cr_assert_eq(entries.asked.size(), 2U);
}

Test(ctl, refusal_of_a_stopping_entry_vm_goes_to_the_next)
{
    const auto stopping = answer(503, 203, R"({"code":203,"name":"shutting_down"})");
    scripted_entries entries{{stopping, answer(200, 0, R"({"version":2})")}, {}};
    cr_assert_eq(run({"domain", "out", "tema-port"}, entries).code, ctl::exit_code::ok);
}

Test(ctl, refusal_that_says_more_than_unreachable_is_the_one_reported)
{
    const auto no_store = answer(503, 204, R"({"code":204,"name":"store_unavailable"})");
    scripted_entries entries{{no_store, not_sent}, {}};
    const auto got = run({"domain", "out", "tema-port"}, entries);
    cr_assert_eq(got.code, ctl::exit_code::refused);
    cr_assert(got.err.find("store_unavailable") != std::string::npos);
}

Test(ctl, conflict_between_operators_shows_the_message_with_both_versions)
{
    scripted_entries entries{
        {answer(409, 400,
                R"({"code":400,"name":"version_conflict","message":"expects 3, but 5 in force"})")},
        {}};
    const auto got = run({"preset", "use", "peak", "--expected", "3"}, entries);
    cr_assert_eq(got.code, ctl::exit_code::conflict);
    cr_assert(got.err.find("expects 3, but 5 in force") != std::string::npos);
    cr_assert(entries.asked.front().body.find("\"expected\":3") != std::string::npos);
}

Test(ctl, no_entry_vm_reachable_has_its_own_exit_code)
{
    scripted_entries entries{{not_sent, not_sent}, {}};
    cr_assert_eq(run({"status"}, entries).code, ctl::exit_code::unreachable);
}

Test(ctl, cancel_by_prefix_goes_through_every_page)
{
    scripted_entries entries{{answer(200, 0, R"({"jobs":[{"id":"n1"},{"id":"n2"}]})"),
                              answer(200, 0, R"({"cancelling":["n1","n2"],"unknown":[]})"),
                              answer(200, 0, R"({"jobs":[]})")},
                             {}};
    const auto got = run({"job", "cancel", "--prefix", "n"}, entries);
    cr_assert_eq(got.code, ctl::exit_code::ok, "%s", got.err.c_str());
    cr_assert(entries.asked[1].body.find(R"(["n1","n2"])") != std::string::npos);
    cr_assert(entries.asked[2].url.find("after=n2") != std::string::npos);
    cr_assert(got.out.find("2 jobs") != std::string::npos);
}

Test(ctl, waiting_for_a_job_tells_failed_from_finished)
{
    const auto taken = answer(200, 0, R"({"id":"j"})");
    const auto failed = answer(200, 0, R"({"phase":"failed","tasks":2,"finished":1,"failed":1})");
    scripted_entries entries{{taken, failed}, {}};
    const auto got = run(
        {"job", "submit", "j", "--team=t", "--caller=c", "--command=run 1", "--tasks=2", "--wait"},
        entries);
    cr_assert_eq(got.code, ctl::exit_code::job_not_finished);
    cr_assert(got.err.find("1 of 2 tasks finished") != std::string::npos, "%s", got.err.c_str());
}

Test(ctl, help_names_every_flag_of_a_command)
{
    scripted_entries entries;
    const auto got = run({"job", "submit", "--help"}, entries);
    cr_assert_eq(got.code, ctl::exit_code::ok);
    cr_assert(got.out.find("--deadline-ms") != std::string::npos);
    cr_assert(got.out.find("--entry") != std::string::npos);
}

Test(ctl, table_columns_are_aligned)
{
    std::ostringstream out;
    const auto rows = nlohmann::json::parse(R"([{"a":"long-name","b":{"c":1}},{"a":"x"}])");
    ctl::print_table(out, rows, {{"A", "a"}, {"C", "b.c"}});
    cr_assert_eq(out.str(), "A          C\nlong-name  1\nx          -\n");
}
