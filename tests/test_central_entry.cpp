/// \file
/// Unit tests of call handling at an entry VM: answers to callers after a forwarded attempt failed
/// or timed out.
#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "central/expectations.h"

using namespace cuminmoor;
using namespace cuminmoor::central;
using namespace cuminmoor::central::test;

namespace {

constexpr const char* peer_address = "10.0.0.2:7000";
constexpr const char* new_peer_address = "10.0.0.3:7000";
constexpr call_handle handle{1};

/// An entry VM with one queue, and a peer that holds the scheduler's lease.
class entry_vm {
public:
    entry_vm()
    {
        state_.self.address = "10.0.0.1:7000";
        state_.manifest_read = true;
        queue q;
        q.name.value = "q";
        q.host = "jobs.example";
        q.path_prefix = "/q/";
        state_.operators.newest = {1, {q}};
        lease_row row;
        row.holder = "vm2";
        row.address = peer_address;
        state_.lease.row = row;
    }

    void submit(std::uint64_t job = 1)
    {
        caller_call call;
        call.handle = handle;
        call.kind = call_kind::submit;
        call.host = "jobs.example";
        call.path = "/q/" + id_of(job);
        call.submitted = central_world::make_job(id_of(job), 1, 1, {100});
        call.timeout = {3'000};
        handle_event(call);
    }

    /// Makes this VM the scheduler, with the jobs already loaded.
    void become_scheduler()
    {
        state_.lease.row->address = state_.self.address;
        state_.lease.current_role = role::scheduler;
        state_.lease.renewed_at = now_;
        state_.lease.renewal_sent_at = now_;
    }

    /// Ends the forwarded call with the peer's answer, or without one.
    void end_peer_call(std::optional<call_result> result, std::optional<millis> held = std::nullopt)
    {
        end_attempt(last_attempt_, result, held);
    }

    /// Ends one of several attempts to forward the call.
    void end_attempt(std::uint32_t attempt, std::optional<call_result> result,
                     std::optional<millis> held = std::nullopt)
    {
        peer_call_ended ended{handle, attempt, true, std::nullopt};
        if (result) {
            ended.answer = call_answer{.result = *result, .held = held};
        }
        handle_event(ended);
    }

    /// Ends the forwarded call with a refusal that says when to come back.
    void end_with_refusal(call_result result, millis retry_after)
    {
        handle_event(peer_call_ended{handle, last_attempt_, true,
                                     call_answer{.result = result, .retry_after = retry_after}});
    }

    /// Another VM has won the lease, as a row of the control table shows.
    void see_new_holder()
    {
        state_.lease.row->address = new_peer_address;
        state_.lease.row->term = {state_.lease.row->term.value + 1};
        handle_event(tick{});
    }

    void query()
    {
        caller_call call;
        call.handle = handle;
        call.kind = call_kind::query;
        call.host = "jobs.example";
        call.path = "/q/" + id_of(1);
        call.timeout = {3'000};
        handle_event(call);
    }

    /// Delivers a submission forwarded by a peer.
    void receive_from_peer()
    {
        peer_call_received received{handle, {}, {3'000}};
        received.call.kind = call_kind::submit;
        received.call.queue.value = "q";
        received.call.job.value = id_of(1);
        received.call.submitted = central_world::make_job(id_of(1), 1, 1, {100});
        handle_event(received);
    }

    void stop() { handle_event(stop_requested{}); }
    void restore_store() { handle_event(store_reachable{true}); }
    void lose_store() { handle_event(store_reachable{false}); }
    [[nodiscard]] bool is_ready() const { return central::is_ready(state_); }

    void advance(millis time)
    {
        now_ = now_ + time;
        handle_event(tick{});
    }

    /// \return the result of the last answer to the caller, if any.
    [[nodiscard]] std::optional<call_result> last_result() const { return last_result_; }
    [[nodiscard]] millis last_retry_after() const { return last_retry_after_; }
    [[nodiscard]] const std::string& last_peer_address() const { return last_peer_address_; }
    [[nodiscard]] std::uint32_t last_attempt() const { return last_attempt_; }
    [[nodiscard]] int peer_calls() const { return peer_calls_; }
    [[nodiscard]] std::optional<millis> last_held() const { return last_held_; }

    /// \return a field of the last log line of an event, or "none".
    [[nodiscard]] std::string logged(const std::string& event, const std::string& field) const
    {
        const auto line = lines_.find(event);
        if (line == lines_.end()) {
            return "none";
        }
        const auto has_name = [&](const log_field& f) { return f.name == field; };
        const auto& fields = line->second;
        const auto found = std::find_if(fields.begin(), fields.end(), has_name);
        return found == fields.end() ? "none" : found->value;
    }

private:
    void handle_event(const central::event& e)
    {
        for (const central::effect& each : central::reduce(state_, e, now_, {0})) {
            if (const auto* answer = std::get_if<answer_call>(&each)) {
                last_result_ = answer->answer.result;
                last_retry_after_ = answer->answer.retry_after;
                last_held_ = answer->answer.held;
            }
            if (const auto* line = std::get_if<log_event>(&each)) {
                lines_.insert_or_assign(line->name, line->fields);
            }
            if (const auto* forwarded = std::get_if<peer_call>(&each)) {
                ++peer_calls_;
                last_attempt_ = forwarded->attempt;
                last_peer_address_ = forwarded->address;
            }
        }
    }

    central_state state_;
    instant now_{1'000};
    std::optional<call_result> last_result_;
    millis last_retry_after_;
    std::optional<millis> last_held_;
    std::map<std::string, std::vector<log_field>> lines_;
    int peer_calls_{0};
    std::uint32_t last_attempt_{0};
    std::string last_peer_address_;
};

} // namespace

Test(central_entry, refusal_is_returned_when_no_attempt_is_ambiguous)
{
    entry_vm vm;
    vm.submit();
    vm.end_peer_call(call_result::unavailable);
    cr_assert(vm.last_result() == call_result::unavailable);
}

/// Guards against a job that runs although its caller was told that it never will (seen on
/// kdl-accra, scale-2 --seed 943532527115): the first forwarded attempt times out but may have been
/// accepted, and a second one is refused.
Test(central_entry, refusal_after_a_timed_out_attempt_becomes_outcome_unknown)
{
    entry_vm vm;
    vm.submit();
    vm.end_peer_call(std::nullopt);
    vm.advance({200});
    cr_assert_eq(vm.peer_calls(), 2);
    vm.end_peer_call(call_result::unavailable);
    cr_assert(vm.last_result() == call_result::outcome_unknown);
}

Test(central_entry, refusal_after_the_scheduler_stepped_down_becomes_outcome_unknown)
{
    entry_vm vm;
    vm.submit();
    vm.end_peer_call(call_result::outcome_unknown);
    cr_assert(not vm.last_result().has_value());
    vm.advance({200});
    vm.end_peer_call(call_result::overloaded);
    cr_assert(vm.last_result() == call_result::outcome_unknown);
}

Test(central_entry, acceptance_after_a_timed_out_attempt_is_returned)
{
    entry_vm vm;
    vm.submit();
    vm.end_peer_call(std::nullopt);
    vm.advance({200});
    vm.end_peer_call(call_result::accepted);
    cr_assert(vm.last_result() == call_result::accepted);
}

Test(central_entry, new_scheduler_does_not_refuse_a_job_that_a_peer_may_have_accepted)
{
    entry_vm vm;
    vm.submit();
    vm.end_peer_call(std::nullopt);
    vm.become_scheduler();
    // Its store is unreachable, so it refuses submissions.
    vm.advance({200});
    cr_assert(vm.last_result() == call_result::outcome_unknown);
}

Test(central_entry, calls_from_peers_are_rejected_after_the_shutdown)
{
    entry_vm vm;
    vm.become_scheduler();
    vm.restore_store();
    vm.stop();
    vm.advance(config::drain_time);
    vm.receive_from_peer();
    cr_assert(vm.last_result() == call_result::not_scheduler);
}

Test(central_entry, retry_after_is_jittered)
{
    constexpr std::uint64_t callers{200};
    std::map<std::int64_t, std::uint64_t> count;
    for (std::uint64_t job{0}; job < callers; ++job) {
        entry_vm vm;
        vm.submit(job);
        vm.end_peer_call(call_result::unavailable);
        ++count[vm.last_retry_after().count];
    }
    cr_assert_eq(count.size(), config::retry_after_steps);
    for (const auto& [time, count_for_time] : count) {
        constexpr std::int64_t ms_per_second{1'000};
        cr_assert(time >= config::retry_after.count and time % ms_per_second == 0);
        cr_assert(count_for_time > callers / config::retry_after_steps / 2);
    }
}

/// A quota or a backlog says after which time to come back. A caller that came sooner would only be
/// refused again.
Test(central_entry, retry_after_of_the_scheduler_is_the_shortest)
{
    constexpr std::int64_t ms_per_second{1'000};
    constexpr std::int64_t shortest{5'000};
    std::map<std::int64_t, std::uint64_t> count;
    for (std::uint64_t job{0}; job < 200; ++job) {
        entry_vm vm;
        vm.submit(job);
        vm.end_with_refusal(call_result::overloaded, {shortest - 300});
        ++count[vm.last_retry_after().count];
    }
    cr_assert_eq(count.size(), static_cast<std::size_t>(shortest / ms_per_second));
    cr_assert_eq(count.begin()->first, shortest);
    cr_assert(count.rbegin()->first < 2 * shortest);
}

/// Without the store a VM does not learn that the lease has moved. Callers are sent to other VMs
/// until it finds a scheduler again.
Test(central_entry, vm_without_store_and_scheduler_is_not_ready)
{
    entry_vm vm;
    vm.restore_store();
    vm.submit();
    vm.end_peer_call(call_result::not_scheduler);
    cr_assert(vm.is_ready());
    vm.lose_store();
    cr_assert_not(vm.is_ready());
    vm.advance({200});
    vm.end_peer_call(call_result::accepted);
    cr_assert(vm.is_ready());
}

Test(central_entry, vm_without_scheduler_is_ready_again_with_the_store)
{
    entry_vm vm;
    vm.lose_store();
    cr_assert(vm.is_ready());
    vm.submit();
    vm.end_peer_call(std::nullopt);
    cr_assert_not(vm.is_ready());
    vm.restore_store();
    cr_assert(vm.is_ready());
}

/// Guards against calls of which no log tells where they waited.
Test(central_entry, lines_tell_where_a_forwarded_call_waited)
{
    entry_vm vm;
    vm.submit();
    vm.advance({20});
    vm.end_peer_call(call_result::not_scheduler, millis{3});
    cr_assert_eq(vm.logged("forward_failed", "result"), "not_scheduler");
    cr_assert_eq(vm.logged("forward_failed", "sent"), "true");
    cr_assert_eq(vm.logged("forward_failed", "age_ms"), "20");
    vm.advance({200});
    vm.advance({50});
    vm.end_peer_call(call_result::accepted, millis{40});
    cr_assert_eq(vm.logged("call_answered", "forwards"), "2");
    cr_assert_eq(vm.logged("call_answered", "forwarded_after_ms"), "220");
    cr_assert_eq(vm.logged("call_answered", "round_trip_ms"), "50");
    cr_assert_eq(vm.logged("call_answered", "held_ms"), "40");
    cr_assert_not(vm.last_held().has_value());
}

Test(central_entry, forwarded_call_without_answer_has_a_line)
{
    entry_vm vm;
    vm.submit();
    vm.advance({20});
    vm.end_peer_call(call_result::not_scheduler, millis{3});
    vm.advance({200});
    vm.advance({2'780});
    cr_assert(vm.last_result() == call_result::outcome_unknown);
    cr_assert_eq(vm.logged("forward_failed", "result"), "no_answer");
    cr_assert_eq(vm.logged("call_answered", "forwards"), "2");
    cr_assert_eq(vm.logged("call_answered", "round_trip_ms"), "none");
    cr_assert_eq(vm.logged("call_answered", "held_ms"), "none");
}

Test(central_entry, answer_to_a_peer_tells_how_long_the_call_was_held)
{
    entry_vm vm;
    vm.become_scheduler();
    vm.restore_store();
    vm.receive_from_peer();
    vm.advance({30});
    vm.stop();
    vm.advance(config::drain_time);
    cr_assert(vm.last_held() == millis{30} + config::drain_time);
}

/// The holder is removed for good and closes no connection: its calls got no answer until their
/// callers' time was over, although another VM scheduled long before (issue 72, dzv-wire-grown,
/// trouble-3: 25 submissions in one take-over).
Test(central_entry, call_to_a_former_holder_goes_to_the_new_one)
{
    entry_vm vm;
    vm.submit();
    const std::uint32_t first = vm.last_attempt();
    vm.advance({1'000});
    cr_assert_eq(vm.peer_calls(), 1);
    vm.see_new_holder();
    cr_assert_eq(vm.peer_calls(), 2);
    cr_assert_eq(vm.last_peer_address(), new_peer_address);
    vm.end_attempt(first, call_result::unavailable);
    cr_assert_not(vm.last_result().has_value(), "the former holder's refusal is no answer");
    vm.end_peer_call(call_result::accepted);
    cr_assert(vm.last_result() == call_result::accepted);
}

/// The former holder may have accepted the job just before it was gone.
Test(central_entry, refusal_by_the_new_holder_does_not_hide_that_the_former_may_have_accepted)
{
    entry_vm vm;
    vm.submit();
    vm.see_new_holder();
    vm.end_peer_call(call_result::unavailable);
    cr_assert(vm.last_result() == call_result::outcome_unknown);
}

/// It changes nothing, so its caller may try again whatever became of it.
Test(central_entry, query_without_an_answer_is_refused)
{
    entry_vm vm;
    vm.query();
    vm.advance({3'000});
    cr_assert(vm.last_result() == call_result::unavailable);
}
