/// \file
/// Malformed rows and messages are rejected with an error: they neither end the process nor make it
/// allocate memory for data that is not there.
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <sys/resource.h>

#include "central/store/codec.h"
#include "cuminmoor/central/peer_codec.h"
#include "wire.h"

using namespace cuminmoor;
using namespace cuminmoor::central;

namespace {

/// Bytes of the archive's head and of a count.
constexpr std::size_t head_bytes{1};
constexpr std::size_t count_bytes{8};
/// Bytes of `call_answer::held` when it is set: a flag and a count.
constexpr std::size_t held_bytes{1 + 8};
constexpr std::int64_t max_growth_kib{65'536};

graph_job make_job()
{
    graph_job job;
    job.id.value = "0000000000000001";
    job.payload = "work";
    job.steps.resize(2);
    job.steps[1].after = {0};
    return job;
}

job_call make_submission()
{
    job_call call;
    call.kind = call_kind::submit;
    call.job.value = "0000000000000001";
    call.submitted = make_job();
    return call;
}

std::int64_t peak_memory_kib()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

std::string with_count(std::string text, std::size_t offset, std::uint64_t count)
{
    std::memcpy(text.data() + offset, &count, count_bytes);
    return text;
}

} // namespace

/// A row of a few bytes that claims millions of steps must not exhaust the VM's memory.
Test(central_codec, false_counts_allocate_nothing)
{
    constexpr std::uint64_t steps{1U << 22U};
    constexpr std::uint64_t text_bytes{1U << 30U};
    // Behind the head: the counts of three empty texts, then that of the steps.
    const std::string job =
        with_count(encode_job(stored_job{}), head_bytes + 3 * count_bytes, steps);
    const std::string lease = with_count(encode_lease(lease_row{}), head_bytes, text_bytes);
    const std::int64_t before = peak_memory_kib();
    cr_assert_not(decode_stored_job(job).ok());
    cr_assert_not(decode_lease(lease).ok());
    cr_assert_lt(peak_memory_kib() - before, max_growth_kib);
}

Test(central_codec, every_truncation_is_rejected)
{
    stored_job row;
    row.spec = make_job();
    const std::string job = encode_job(row);
    const std::string call = encode_call(make_submission());
    const std::string answer = encode_answer({.held = millis{40}});
    cr_assert(decode_stored_job(job).ok());
    cr_assert(decode_call(call).ok());
    cr_assert(decode_answer(answer).ok());
    for (std::size_t n{0}; n < job.size(); ++n) {
        cr_assert_not(decode_stored_job(job.substr(0, n)).ok());
    }
    for (std::size_t n{0}; n < call.size(); ++n) {
        cr_assert_not(decode_call(call.substr(0, n)).ok());
    }
    // Cut off where `held` begins, an answer is one of an earlier version.
    const std::size_t earlier_bytes = answer.size() - held_bytes;
    for (std::size_t n{0}; n < answer.size(); ++n) {
        cr_assert_eq(decode_answer(answer.substr(0, n)).ok(), n == earlier_bytes);
    }
}

/// The scheduler dereferences the job of a submission and indexes steps by their dependencies.
Test(central_codec, calls_that_the_scheduler_cannot_handle_are_rejected)
{
    const std::vector<std::function<void(job_call&)>> faults{
        [](job_call& c) { c.submitted.reset(); },
        [](job_call& c) { c.kind = call_kind::query; },
        [](job_call& c) { c.kind = static_cast<call_kind>(9); },
        [](job_call& c) { c.submitted->steps.clear(); },
        [](job_call& c) { c.submitted->steps[0].tasks = 0; },
        [](job_call& c) { c.submitted->steps[0].tasks = UINT32_MAX; },
        [](job_call& c) { c.submitted->steps[1].after = {1}; },
        [](job_call& c) { c.submitted->steps[1].after = {70'000}; },
        [](job_call& c) { c.submitted->repeats.count = UINT32_MAX; },
    };
    for (const auto& fault : faults) {
        job_call call = make_submission();
        fault(call);
        cr_assert_not(decode_call(encode_call(call)).ok());
    }
}

Test(central_codec, rows_with_unknown_states_are_rejected)
{
    job_record job;
    job.state = static_cast<job_state>(77);
    cr_assert_not(decode_progress(encode_progress(job)).ok());
    call_answer answer;
    answer.result = static_cast<call_result>(77);
    cr_assert_not(decode_answer(encode_answer(answer)).ok());
}

Test(central_codec, deeply_nested_json_is_rejected)
{
    constexpr std::size_t depth{200'000};
    std::string objects;
    for (std::size_t i{0}; i < depth; ++i) {
        objects += R"({"steps":)";
    }
    for (const std::string& text : {std::string(depth, '['), objects}) {
        cr_assert_not(platform::parse_job(text).ok());
        cr_assert_not(platform::parse_manifest(text).ok());
        cr_assert_not(platform::parse_store_page(text).ok());
        cr_assert_not(platform::parse_commit_response(text).ok());
        cr_assert_not(platform::parse_order_response(text).ok());
        cr_assert_not(platform::parse_hold_response(text).ok());
        cr_assert_not(platform::parse_registry_entry("r", text).ok());
    }
    const std::string closed = std::string(depth, '[') + std::string(depth, ']');
    cr_assert_not(platform::parse_job(R"({"steps":)" + closed + "}").ok());
}

/// During a rolling upgrade VMs read lease rows of processes that do not write `recovered` or
/// `handed_over` yet.
Test(central_codec, lease_row_of_an_earlier_version_is_read)
{
    const lease_row row{"vm1", "10.0.0.1:7000", 7, {3}, true, true, {}, 0, {}};
    const std::string text = encode_lease(row);
    // Its number, two marks of a handover that is not set, and one of foreign leases.
    constexpr std::size_t number_bytes{8};
    const std::size_t known_bytes = text.size() - number_bytes - 3;
    const auto without_handover = decode_lease(text.substr(0, known_bytes));
    cr_assert(without_handover.ok());
    cr_assert(without_handover->recovered);
    cr_assert_not(without_handover->handed_over.has_value());
    // What earlier versions hand over is not read.
    std::string with_earlier_handover = text.substr(0, known_bytes + 1);
    with_earlier_handover.back() = 0;
    cr_assert(decode_lease(with_earlier_handover).ok());
    cr_assert_not(decode_lease(with_earlier_handover)->handed_over.has_value());
    const auto earlier = decode_lease(text.substr(0, known_bytes - 1));
    cr_assert(earlier.ok());
    cr_assert_eq(earlier->term.value, 3);
    cr_assert(earlier->released);
    cr_assert_not(earlier->recovered);
    cr_assert(decode_lease(text)->recovered);
    cr_assert_not(decode_lease(text.substr(0, known_bytes - 2)).ok());
}

/// A process of landing 17 and before does not say when foreign leases end.
Test(central_codec, lease_row_without_foreign_leases_is_read)
{
    const lease_row row{"vm1", "10.0.0.1:7000", 7, {3}, true, false, handover{}, 9, {}};
    const std::string text = encode_lease(row);
    const auto earlier = decode_lease(text.substr(0, text.size() - 1));
    cr_assert(earlier.ok() && earlier->handed_over.has_value());
    cr_assert_eq(earlier->number, 9);
    cr_assert_not(earlier->foreign_leases_end_within.has_value());
}

Test(central_codec, lease_row_keeps_what_its_holder_handed_over)
{
    lease_row row{"vm1", "10.0.0.1:7000", 7, {3}, true, false, {}, 9, millis{4'100}};
    const graph_task_id task{{"0123456789abcdef"}, 2, 1, 7};
    row.handed_over = handover{
        {{{"i-1"}, {4'000}, {task}, true}, {{"i-2"}, {100}, {}, false}}, {6'220}, true, true};
    const auto read = decode_lease(encode_lease(row));
    cr_assert(read.ok() && read->handed_over.has_value());
    cr_assert(read->handed_over->earlier_leases_end_within == millis{6'220});
    cr_assert(read->handed_over->may_grant);
    cr_assert(read->handed_over->places_known);
    cr_assert_eq(read->number, 9);
    cr_assert(read->foreign_leases_end_within == millis{4'100});
    const auto& runners = read->handed_over->runners;
    cr_assert_eq(runners.size(), 2);
    cr_assert(runners[0].runner == runner_id{"i-1"});
    cr_assert(runners[0].leases_end_within == millis{4'000});
    cr_assert(runners[0].suspects == std::vector<graph_task_id>{task});
    cr_assert(runners[0].is_attributed);
    cr_assert(runners[1].leases_end_within == millis{100});
    cr_assert(runners[1].suspects.empty());
}

/// During a rolling upgrade VMs read answers of processes that do not write `held` yet.
Test(central_codec, answer_of_an_earlier_version_is_read)
{
    const std::string text =
        encode_answer({.result = call_result::pending, .pending = 5, .held = millis{40}});
    cr_assert(decode_answer(text)->held == millis{40});
    const auto earlier = decode_answer(text.substr(0, text.size() - held_bytes));
    cr_assert(earlier.ok());
    cr_assert(earlier->result == call_result::pending && earlier->pending == 5);
    cr_assert_not(earlier->held.has_value());
}

/// The places of service tasks are kept, and progress of processes that do not write them is read.
Test(central_codec, progress_keeps_the_places_of_services)
{
    job_record job;
    job.state = job_state::running;
    job.occurrences.resize(1);
    job.occurrences[0].is_started = true;
    job.occurrences[0].steps.resize(1);
    auto& tasks = job.occurrences[0].steps[0].tasks;
    tasks.resize(2);
    const std::string without_places = encode_progress(job);
    tasks[0].placed_on = {"i-0"};
    tasks[0].has_survived_there = true;
    tasks[1].placed_on = {"i-1"};
    const auto read = decode_progress(encode_progress(job));
    cr_assert(read.ok());
    const auto& read_tasks = read->occurrences[0].steps[0].tasks;
    cr_assert(read_tasks[0].placed_on == runner_id{"i-0"});
    cr_assert(read_tasks[0].has_survived_there);
    cr_assert_not(read_tasks[0].crashes.has_open_run);
    cr_assert(read_tasks[1].placed_on == runner_id{"i-1"});
    cr_assert_not(read_tasks[1].has_survived_there);
    cr_assert(read_tasks[1].crashes.has_open_run);

    constexpr std::size_t empty_list_bytes{8};
    for (const std::size_t lists : {1, 2, 3}) {
        const std::size_t bytes = without_places.size() - lists * empty_list_bytes;
        const auto earlier = decode_progress(without_places.substr(0, bytes));
        cr_assert(earlier.ok());
        cr_assert_eq(earlier->occurrences[0].steps[0].tasks.size(), 2);
    }
    cr_assert_not(decode_progress(without_places.substr(0, without_places.size() - 1)).ok());
}
