/// \file
/// Entry-VM handling of calls from callers and peers: resolves the queue, handles the call locally
/// or forwards it to the scheduler's VM, and answers before the deadline.
#include "central/entry/credentials.h"
#include "central/lease/members.h"
#include "central/parts.h"

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

/// Length of a job id in the request path, in hexadecimal digits.
constexpr std::size_t job_id_length{16};

bool is_job_id(std::string_view text)
{
    const auto is_hex = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
    };
    return text.size() == job_id_length && std::all_of(text.begin(), text.end(), is_hex);
}

call_answer make_refusal(call_result result)
{
    return {.result = result, .retry_after = config::retry_after};
}

void register_call(const context& c, call_handle handle, open_call call)
{
    call.opened_at = c.now;
    c.wake_by(call.deadline);
    c.s.calls.insert_or_assign(handle, std::move(call));
}

/// \return the address of the scheduler's VM, or null while none is known.
const std::string* scheduler_address(const central_state& s)
{
    const bool known = s.lease.row && !s.lease.row->released;
    return known ? &s.lease.row->address : nullptr;
}

bool is_self(const central_state& s, const std::string& address)
{
    return address == s.self.address;
}

void set_scheduler_unknown(const context& c, bool unknown)
{
    if (c.s.scheduler_is_unknown != unknown) {
        c.s.scheduler_is_unknown = unknown;
        c.log(unknown ? "scheduler_unknown" : "scheduler_answers",
              {{"store_is_reachable", c.s.store_is_reachable ? "true" : "false"}});
    }
}

/// Logs a forward that ended without a final answer.
/// \param sent "true", "false" or "unknown".
/// \param result the peer's answer, or "no_answer".
void log_failed_forward(const context& c, const open_call& call, absl::string_view sent,
                        absl::string_view result)
{
    c.log("forward_failed", {{"job", call.call.job.value},
                             {"call", std::string{name_of(call.call.kind)}},
                             {"forwarded_to", call.last_peer_address},
                             {"sent", std::string{sent}},
                             {"result", std::string{result}},
                             {"age_ms", absl::StrCat((c.now - call.forwards.last_at).count)}});
}

void record_forward(const context& c, open_call& call)
{
    call.forwards = {.count = call.forwards.count + 1, .last_at = c.now, .is_in_flight = true};
}

void record_forward_end(const context& c, open_call& call, const peer_call_ended& e)
{
    call.forwards.is_in_flight = false;
    if (e.answer) {
        call.forwards.round_trip = c.now - call.forwards.last_at;
        call.forwards.held = e.answer->held;
    }
}

void forward_call(const context& c, call_handle handle, open_call& call)
{
    const std::string* const address = scheduler_address(c.s);
    const bool has_peer = address != nullptr && !is_self(c.s, *address);
    if (!has_peer) {
        set_scheduler_unknown(c, true);
        call.retry_at = c.now + config::call_retry;
        c.wake_by(call.retry_at);
        return;
    }
    call.dispatched = true;
    call.last_peer_address = *address;
    call.call.forwarded_by = c.s.self.vm;
    record_forward(c, call);
    c.add(peer_call{handle, call.forwards.count, *address, call.call, call.deadline - c.now});
}

bool schedules_here(const central_state& s)
{
    return s.lease.current_role == role::scheduler || s.lease.current_role == role::loading;
}

/// \return true when the call can be handled here or sent to a different VM than last time.
bool has_new_scheduler(const central_state& s, const open_call& call)
{
    if (schedules_here(s)) {
        return true;
    }
    const std::string* const address = scheduler_address(s);
    return address != nullptr && !is_self(s, *address) && *address != call.last_peer_address;
}

/// \return true when the call has been open for `max_wait_for_scheduler`, is not being handled by a
/// scheduler, was certainly not accepted by one, and no other scheduler is known.
bool is_undelivered_too_long(const context& c, const open_call& call)
{
    const bool has_waited = c.now >= call.opened_at + config::max_wait_for_scheduler;
    const bool is_undelivered = !call.from_peer && !call.dispatched && !call.maybe_accepted;
    return has_waited && is_undelivered && !has_new_scheduler(c.s, call);
}

/// \return true while the call waits for the answer of a VM that no longer schedules. It may be
/// gone for good without closing its connections.
bool awaits_former_scheduler(const central_state& s, const open_call& call)
{
    return call.forwards.is_in_flight && has_new_scheduler(s, call);
}

/// Gives up the forward in flight. Sending the call to the new scheduler is safe: it knows the jobs
/// that the former one accepted, and nothing is stored for the former one any more.
void abandon_forward(const context& c, open_call& call)
{
    log_failed_forward(c, call, "unknown", "superseded");
    call.forwards.is_in_flight = false;
    call.dispatched = false;
    call.maybe_accepted = true;
}

/// Handles the call here when this VM schedules, otherwise forwards it. The call stays open until
/// it is answered.
void route(const context& c, call_handle handle)
{
    open_call& call = c.s.calls.at(handle);
    if (schedules_here(c.s)) {
        call.dispatched = true;
        handle_call(c, handle, job_call{call.call});
        return;
    }
    if (call.from_peer) {
        const bool is_certainly_not_accepted = !call.maybe_accepted;
        answer(c, handle,
               {.result = is_certainly_not_accepted ? call_result::not_scheduler
                                                    : call_result::outcome_unknown});
        return;
    }
    forward_call(c, handle, call);
}

/// \return true for a call that changes nothing: whether it was processed does not matter.
bool is_read_only(const open_call& call)
{
    return call.call.kind == call_kind::query || call.call.kind == call_kind::count_pending;
}

/// Successful polls are not logged: there are too many.
bool should_log(const open_call& call, call_result result)
{
    const bool is_plain = result == call_result::state || result == call_result::pending;
    return !(is_read_only(call) && is_plain);
}

/// Adds the durations of the call's last forward, as far as they are known.
void add_forward_fields(std::vector<log_field>& fields, const open_call& call)
{
    const forward_history& f = call.forwards;
    fields.push_back({"forwards", absl::StrCat(f.count)});
    if (f.count > 0) {
        fields.push_back({"forwarded_after_ms", absl::StrCat((f.last_at - call.opened_at).count)});
    }
    if (f.round_trip) {
        fields.push_back({"round_trip_ms", absl::StrCat(f.round_trip->count)});
    }
    if (f.held) {
        fields.push_back({"held_ms", absl::StrCat(f.held->count)});
    }
}

void log_answer(const context& c, const open_call& call, const call_answer& a)
{
    if (call.from_peer || !should_log(call, a.result)) {
        return;
    }
    std::vector<log_field> fields{{"job", call.call.job.value},
                                  {"call", std::string{name_of(call.call.kind)}},
                                  {"queue", call.call.queue.value},
                                  {"organisation", call.call.organisation.value},
                                  {"manifest", absl::StrCat(call.call.manifest_version)},
                                  {"result", std::string{name_of(a.result)}},
                                  {"retry_after_ms", absl::StrCat(a.retry_after.count)},
                                  {"age_ms", absl::StrCat((c.now - call.opened_at).count)},
                                  {"forwarded_to", call.last_peer_address}};
    add_forward_fields(fields, call);
    c.log("call_answered", std::move(fields));
}

/// \return the answer for a call that timed out: the outcome is unknown if it was dispatched and
/// may have changed something, otherwise it was certainly not accepted.
call_answer timeout_answer(const open_call& call)
{
    if (!is_read_only(call) && (call.maybe_accepted || call.dispatched)) {
        return {.result = call_result::outcome_unknown};
    }
    return make_refusal(call_result::unavailable);
}

/// \return true for an answer that guarantees that a submitted job never runs.
bool is_refusal(call_result result)
{
    return result == call_result::unavailable || result == call_result::overloaded ||
           result == call_result::unknown_queue || result == call_result::unauthenticated;
}

/// \return `outcome_unknown` if the answer refuses a job that an earlier attempt may have
/// submitted, otherwise the answer unchanged: a refusal is valid only for the attempt that it
/// answers.
call_answer without_unsafe_refusal(const open_call& call, const call_answer& a)
{
    const bool is_ambiguous =
        call.maybe_accepted && call.call.kind == call_kind::submit && is_refusal(a.result);
    return is_ambiguous ? call_answer{.result = call_result::outcome_unknown} : a;
}

/// \return a hash of the job id and the call's handle (FNV-1a): the same on every platform.
std::uint64_t call_hash(const open_call& call, call_handle handle)
{
    constexpr std::uint64_t basis{14'695'981'039'346'656'037U};
    constexpr std::uint64_t prime{1'099'511'628'211U};
    std::uint64_t number{basis ^ handle.value};
    for (const char each : call.call.job.value) {
        number = (number ^ static_cast<unsigned char>(each)) * prime;
    }
    constexpr unsigned half{32};
    return number ^ (number >> half);
}

/// \return a refusal to a caller with a jittered `retry_after`, so that refused callers do not
/// retry all at once: never shorter than the answer has it, and in whole seconds, up to twice as
/// long. A peer jitters by itself.
call_answer with_jittered_retry_after(const open_call& call, call_handle handle, call_answer a)
{
    const bool has_retry_after =
        a.result == call_result::unavailable || a.result == call_result::overloaded;
    if (!has_retry_after || call.from_peer) {
        return a;
    }
    constexpr std::int64_t ms_per_second{1'000};
    const millis shortest = std::max(a.retry_after, config::retry_after);
    const std::int64_t seconds = (shortest.count + ms_per_second - 1) / ms_per_second;
    const auto steps = std::max(static_cast<std::uint64_t>(seconds), config::retry_after_steps);
    const auto step = static_cast<std::int64_t>(call_hash(call, handle) % steps);
    a.retry_after = millis{(seconds + step) * ms_per_second};
    return a;
}

/// \return the answer with `held` set if it goes to a peer, otherwise without it.
call_answer with_time_held(const context& c, const open_call& call, call_answer a)
{
    a.held.reset();
    if (call.from_peer) {
        a.held = c.now - call.opened_at;
    }
    return a;
}

/// Sets the call's queue, manifest version and job id from the request's host and path.
call_result resolve(const context& c, const caller_call& e, job_call& call)
{
    if (!c.s.manifest_read) {
        return call_result::unavailable;
    }
    const manifest& m = c.s.operators.newest;
    const caller_check check = check_caller(m, e.host, e.path, e.key);
    call.manifest_version = m.version;
    if (check.found == nullptr) {
        return check.result;
    }
    call.queue = check.found->name;
    if (check.result != call_result::accepted) {
        return check.result;
    }
    if (e.is_body_unread) {
        // It was refused by the manifest that was in force when it was read.
        return call_result::unavailable;
    }
    call.organisation = check.organisation;
    const std::string rest = e.path.substr(check.found->path_prefix.size());
    if (e.kind == call_kind::query && rest.empty()) {
        call.kind = call_kind::count_pending;
        return call_result::accepted;
    }
    if (!is_job_id(rest)) {
        return e.kind == call_kind::submit ? call_result::malformed : call_result::unknown_job;
    }
    call.job.value = rest;
    return call_result::accepted;
}

} // namespace

call_result check_caller(const central_state& s, std::string_view host, std::string_view path,
                         const credential& key)
{
    return s.manifest_read ? check_caller(s.operators.newest, host, path, key).result
                           : call_result::unavailable;
}

bool is_ready(const central_state& s)
{
    const bool finds_scheduler =
        s.store_is_reachable || schedules_here(s) || !s.scheduler_is_unknown;
    return s.manifest_read && !s.stopping && finds_scheduler;
}

void on_caller_call(const context& c, const caller_call& e)
{
    open_call call;
    call.call.kind = e.kind;
    const call_result found = resolve(c, e, call.call);
    const millis time_left = e.timeout - config::answer_margin;
    call.deadline = c.now + time_left;
    if (found == call_result::accepted && e.kind == call_kind::submit) {
        if (!e.submitted) {
            register_call(c, e.handle, std::move(call));
            answer(c, e.handle, {.result = call_result::malformed});
            return;
        }
        call.call.submitted = e.submitted;
        call.call.submitted->id = call.call.job;
        call.call.submitted->queue = call.call.queue;
    }
    register_call(c, e.handle, std::move(call));
    if (c.s.shutdown_reported) {
        answer(c, e.handle, make_refusal(call_result::unavailable));
        return;
    }
    if (found != call_result::accepted) {
        answer(c, e.handle, make_refusal(found));
        return;
    }
    route(c, e.handle);
}

void on_peer_call(const context& c, const peer_call_received& e)
{
    record_peer_contact(c, e.call.forwarded_by);
    open_call call;
    call.call = e.call;
    call.from_peer = true;
    call.deadline = c.now + e.timeout;
    register_call(c, e.handle, std::move(call));
    if (c.s.shutdown_reported) {
        answer(c, e.handle, {.result = call_result::not_scheduler});
        return;
    }
    route(c, e.handle);
}

void on_peer_call_ended(const context& c, const peer_call_ended& e)
{
    const auto found = c.s.calls.find(e.handle);
    if (found == c.s.calls.end()) {
        return;
    }
    open_call& call = found->second;
    if (e.attempt != call.forwards.count || !call.forwards.is_in_flight) {
        return;
    }
    call.dispatched = false;
    record_forward_end(c, call, e);
    const call_result result = e.answer ? e.answer->result : call_result::outcome_unknown;
    const bool is_final =
        result != call_result::not_scheduler && result != call_result::outcome_unknown;
    set_scheduler_unknown(c, !is_final);
    if (is_final) {
        answer(c, e.handle, *e.answer);
        return;
    }
    log_failed_forward(c, call, e.sent ? "true" : "false",
                       e.answer ? name_of(result) : "no_answer");
    call.maybe_accepted = call.maybe_accepted || (e.sent && result == call_result::outcome_unknown);
    // Retrying is safe: the scheduler recognizes a job that was already submitted by its id.
    call.retry_at = c.now + config::call_retry;
    c.wake_by(call.retry_at);
}

void check_calls(const context& c)
{
    std::vector<call_handle> to_retry;
    std::vector<call_handle> timed_out;
    for (auto& [handle, call] : c.s.calls) {
        if (awaits_former_scheduler(c.s, call)) {
            abandon_forward(c, call);
        }
        if (c.now >= call.deadline || is_undelivered_too_long(c, call)) {
            timed_out.push_back(handle);
        }
        else if (!call.dispatched && c.now >= call.retry_at) {
            to_retry.push_back(handle);
        }
    }
    for (const call_handle handle : timed_out) {
        answer(c, handle, timeout_answer(c.s.calls.at(handle)));
    }
    for (const call_handle handle : to_retry) {
        route(c, handle);
    }
}

void answer_all_open_calls(const context& c)
{
    millis oldest;
    for (const auto& [handle, call] : c.s.calls) {
        oldest = std::max(oldest, c.now - call.opened_at);
    }
    c.log("drain_ended", {{"open_calls", absl::StrCat(c.s.calls.size())},
                          {"oldest_ms", absl::StrCat(oldest.count)}});
    while (!c.s.calls.empty()) {
        const auto& [handle, call] = *c.s.calls.begin();
        answer(c, handle, timeout_answer(call));
    }
}

void answer(const context& c, call_handle handle, const call_answer& a)
{
    const auto found = c.s.calls.find(handle);
    if (found == c.s.calls.end()) {
        return;
    }
    const open_call& call = found->second;
    if (call.forwards.is_in_flight) {
        log_failed_forward(c, call, "unknown", "no_answer");
    }
    const call_answer final_answer = with_time_held(
        c, call, with_jittered_retry_after(call, handle, without_unsafe_refusal(call, a)));
    log_answer(c, call, final_answer);
    c.add(answer_call{handle, final_answer});
    c.s.calls.erase(found);
}

} // namespace cuminmoor::central
