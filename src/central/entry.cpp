/// \file
/// Calls of callers and peers at an entry VM: found a queue, handled here or passed on to the
/// scheduler, answered in time.
#include "members.h"
#include "parts.h"

#include "absl/strings/str_cat.h"

namespace cuminmoor::central {

namespace {

/// Length of a job's id on the path, in hexadecimal digits.
constexpr std::size_t job_id_length{16};

bool is_job_id(std::string_view text)
{
    const auto is_hex = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
    };
    return text.size() == job_id_length && std::all_of(text.begin(), text.end(), is_hex);
}

call_answer refused(call_result result)
{
    return {.result = result, .retry_after = config::retry_after};
}

void open(const context& c, call_handle handle, open_call call)
{
    call.opened_at = c.now;
    c.wake(call.answer_by);
    c.s.calls.insert_or_assign(handle, std::move(call));
}

/// \return the address of the VM that schedules, or null while nobody is known to.
const std::string* scheduler_address(const central_state& s)
{
    const bool known = s.lease.row && !s.lease.row->released;
    return known ? &s.lease.row->address : nullptr;
}

bool is_self(const central_state& s, const std::string& address)
{
    return address == s.self.address;
}

void pass_on(const context& c, call_handle handle, open_call& call)
{
    const std::string* const address = scheduler_address(c.s);
    const bool to_peer = address != nullptr && !is_self(c.s, *address);
    if (!to_peer) {
        call.retry_at = c.now + config::call_retry;
        c.wake(call.retry_at);
        return;
    }
    call.passed_on = true;
    call.tried_address = *address;
    call.call.passed_on_by = c.s.self.vm;
    c.add(peer_call{handle, *address, call.call, call.answer_by - c.now});
}

bool schedules_here(const central_state& s)
{
    return s.lease.now == role::scheduler || s.lease.now == role::loading;
}

/// \return true when a call can go somewhere that it was not sent to the last time.
bool has_new_scheduler(const central_state& s, const open_call& call)
{
    if (schedules_here(s)) {
        return true;
    }
    const std::string* const address = scheduler_address(s);
    return address != nullptr && !is_self(s, *address) && *address != call.tried_address;
}

/// \return true when a call has certainly reached nobody, and is not likely to in time.
bool is_hopeless(const context& c, const open_call& call)
{
    const bool has_waited = c.now >= call.opened_at + config::scheduler_patience;
    const bool is_clean = !call.from_peer && !call.passed_on && !call.maybe_taken;
    return has_waited && is_clean && !has_new_scheduler(c.s, call);
}

/// Gives a call to whoever schedules; it stays open until it is answered.
void route(const context& c, call_handle handle)
{
    open_call& call = c.s.calls.at(handle);
    if (schedules_here(c.s)) {
        call.passed_on = true;
        handle_call(c, handle, job_call{call.call});
        return;
    }
    if (call.from_peer) {
        const bool is_clean = !call.maybe_taken;
        answer(c, handle,
               {.result = is_clean ? call_result::not_scheduler : call_result::outcome_unknown});
        return;
    }
    pass_on(c, handle, call);
}

absl::string_view name_of(call_kind kind)
{
    switch (kind) {
    case call_kind::submit:
        return "submit";
    case call_kind::query:
        return "query";
    case call_kind::cancel:
        return "cancel";
    case call_kind::count_pending:
        return "count_pending";
    }
    return "";
}

absl::string_view name_of(call_result result)
{
    switch (result) {
    case call_result::accepted:
        return "accepted";
    case call_result::state:
        return "state";
    case call_result::pending:
        return "pending";
    case call_result::cancelled:
        return "cancelled";
    case call_result::unknown_job:
        return "unknown_job";
    case call_result::unknown_queue:
        return "unknown_queue";
    case call_result::malformed:
        return "malformed";
    case call_result::overloaded:
        return "overloaded";
    case call_result::unavailable:
        return "unavailable";
    case call_result::outcome_unknown:
        return "outcome_unknown";
    case call_result::not_scheduler:
        return "not_scheduler";
    }
    return "";
}

/// Polls are too many to be logged, unless they fail.
bool is_worth_a_line(const open_call& call, call_result result)
{
    const bool is_poll =
        call.call.kind == call_kind::query || call.call.kind == call_kind::count_pending;
    const bool is_plain = result == call_result::state || result == call_result::pending;
    return !(is_poll && is_plain);
}

void log_answer(const context& c, const open_call& call, const call_answer& a)
{
    if (call.from_peer || !is_worth_a_line(call, a.result)) {
        return;
    }
    c.log("call_answered", {{"job", call.call.job.value},
                            {"call", std::string{name_of(call.call.kind)}},
                            {"queue", call.call.queue.value},
                            {"manifest", absl::StrCat(call.call.manifest_version)},
                            {"result", std::string{name_of(a.result)}},
                            {"retry_after_ms", absl::StrCat(a.retry_after.count)}});
}

/// \return what is certain about a call that nobody has answered in time.
call_answer unanswered(const open_call& call)
{
    if (call.maybe_taken || call.passed_on) {
        return {.result = call_result::outcome_unknown};
    }
    return refused(call_result::unavailable);
}

/// \return true when the answer promises that a submitted job never runs.
bool is_refusal(call_result result)
{
    return result == call_result::unavailable || result == call_result::overloaded ||
           result == call_result::unknown_queue;
}

/// \return what the caller may be told: a refusal only holds for the attempt that it answers, and
/// an earlier one may have been taken in.
call_answer without_false_promise(const open_call& call, const call_answer& a)
{
    const bool is_doubtful =
        call.maybe_taken && call.call.kind == call_kind::submit && is_refusal(a.result);
    return is_doubtful ? call_answer{.result = call_result::outcome_unknown} : a;
}

/// \return the same number for the same job and call everywhere (FNV-1a).
std::uint64_t spread_number(const open_call& call, call_handle handle)
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

/// \return the answer with a time to come back that differs between refused callers.
call_answer with_spread_return(const open_call& call, call_handle handle, call_answer a)
{
    const bool names_time =
        a.result == call_result::unavailable || a.result == call_result::overloaded;
    if (names_time) {
        const std::uint64_t step = spread_number(call, handle) % config::retry_after_steps;
        a.retry_after = config::retry_after * static_cast<std::int64_t>(step + 1);
    }
    return a;
}

/// Finds the queue and the job that a request names.
call_result resolve(const context& c, const caller_call& e, job_call& call)
{
    if (!c.s.manifest_read) {
        return call_result::unavailable;
    }
    const manifest& m = c.s.operators.newest;
    const queue* const q = find_queue(m, e.host, e.path);
    if (q == nullptr) {
        return call_result::unknown_queue;
    }
    call.queue = q->name;
    call.manifest_version = m.version;
    const std::string rest = e.path.substr(q->path_prefix.size());
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

void on_caller_call(const context& c, const caller_call& e)
{
    open_call call;
    call.call.kind = e.kind;
    const call_result found = resolve(c, e, call.call);
    const millis patience = e.patience - config::answer_margin;
    call.answer_by = c.now + patience;
    if (found == call_result::accepted && e.kind == call_kind::submit) {
        if (!e.submitted) {
            open(c, e.handle, std::move(call));
            answer(c, e.handle, {.result = call_result::malformed});
            return;
        }
        call.call.submitted = e.submitted;
        call.call.submitted->id = call.call.job;
        call.call.submitted->queue = call.call.queue;
    }
    open(c, e.handle, std::move(call));
    if (c.s.stop_reported) {
        answer(c, e.handle, refused(call_result::unavailable));
        return;
    }
    if (found != call_result::accepted) {
        answer(c, e.handle, refused(found));
        return;
    }
    route(c, e.handle);
}

void on_peer_call(const context& c, const peer_call_received& e)
{
    note_heard(c, e.call.passed_on_by);
    open_call call;
    call.call = e.call;
    call.from_peer = true;
    call.answer_by = c.now + e.patience;
    open(c, e.handle, std::move(call));
    if (c.s.stop_reported) {
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
    call.passed_on = false;
    const call_result result = e.answer ? e.answer->result : call_result::outcome_unknown;
    const bool is_settled =
        result != call_result::not_scheduler && result != call_result::outcome_unknown;
    if (is_settled) {
        answer(c, e.handle, *e.answer);
        return;
    }
    call.maybe_taken = call.maybe_taken || (e.sent && result == call_result::outcome_unknown);
    // The same job may be handed in again: the scheduler knows it by its id.
    call.retry_at = c.now + config::call_retry;
    c.wake(call.retry_at);
}

void check_calls(const context& c)
{
    std::vector<call_handle> due;
    std::vector<call_handle> late;
    for (const auto& [handle, call] : c.s.calls) {
        if (c.now >= call.answer_by || is_hopeless(c, call)) {
            late.push_back(handle);
        }
        else if (!call.passed_on && c.now >= call.retry_at) {
            due.push_back(handle);
        }
    }
    for (const call_handle handle : late) {
        answer(c, handle, unanswered(c.s.calls.at(handle)));
    }
    for (const call_handle handle : due) {
        route(c, handle);
    }
}

void end_all_calls(const context& c)
{
    while (!c.s.calls.empty()) {
        const auto& [handle, call] = *c.s.calls.begin();
        answer(c, handle, unanswered(call));
    }
}

void answer(const context& c, call_handle handle, const call_answer& a)
{
    const auto found = c.s.calls.find(handle);
    if (found == c.s.calls.end()) {
        return;
    }
    const open_call& call = found->second;
    const call_answer told = with_spread_return(call, handle, without_false_promise(call, a));
    log_answer(c, call, told);
    c.add(answer_call{handle, told});
    c.s.calls.erase(found);
}

} // namespace cuminmoor::central
